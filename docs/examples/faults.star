# Three boxes for 12 s. Play it with: wharftrestle lab faults docs/examples/faults.star
play(seconds = 12, boxes = 3, callers = 4, seed = 7)

at(1, delay("b1", "front", 40, 20))             # ms, and up to so many more
at(1, drop("b1", "names", 0.5))                 # half of its reports are lost
at(2, change("b2"))                             # a second process takes over, the first is told to go
at(3, cut("b3", "pool"))                        # its worker pool is gone ...
at(4, heal("b3", "pool"))                       # ... and back
at(5, hole("b1", "pool", way = "back"))         # one way only
at(6, heal("b1", "pool"))
at(7, stop("b2"))                               # stalls, as by a full machine
at(8, go("b2"))
at(9, kill("b3"))
at(9.5, start("b3"))                            # under the same name, cold
