# A fleet of six boxes in two zones, changed in three stages.
for i in range(1, 7):
    box("b" + str(i), zone = "north" if i <= 3 else "south", keeper = "127.0.0.1:" + str(7500 + i))

change(
    to = "2026-12-08",
    stages = [
        stage(boxes = 1, hold = 120),                       # one box, watched for two minutes
        stage(share = 0.5, spread = "zone", hold = 120),    # then half of them, of all zones in turn
        stage(share = 1, spread = "zone", hold = 60),
    ],
    worse = [worth(0.03), failed(0.03), refused(0.1), late(0.1), cpu(0.5), memory(0.5)],
    most_away = 1,
    when_cut = "hold",
    when_worse = "back",
)
