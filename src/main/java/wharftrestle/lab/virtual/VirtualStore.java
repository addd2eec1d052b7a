package wharftrestle.lab.virtual;

import java.util.SplittableRandom;

/** The store that all boxes call, in virtual time: it takes a while, and a trouble makes it slower for all. */
final class VirtualStore {

    /** Hears how a call ended. */
    interface Ended {
        void at(double now, boolean good);
    }

    private static final double MEAN = 0.02;

    private final Agenda agenda;
    private double slower = 1;

    VirtualStore(Agenda agenda) {
        this.agenda = agenda;
    }

    void slow(double factor) {
        slower = factor;
    }

    /** A call that is given up at {@code notPast}. */
    void call(double now, SplittableRandom random, Ended told, double notPast) {
        double takes = -Math.log(1 - random.nextDouble()) * MEAN * slower;
        boolean good = notPast <= 0 || now + takes <= notPast;
        agenda.at(good ? now + takes : notPast, then -> told.at(then, good));
    }
}
