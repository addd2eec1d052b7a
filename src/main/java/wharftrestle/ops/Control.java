package wharftrestle.ops;

import java.io.EOFException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import wharftrestle.net.Bytes;
import wharftrestle.net.Server;

/**
 * The control port: lines of one word in, some lines of text and a line with a single dot out. It shows what
 * the daemon counts and passes on the notice to leave; it must never touch a request.
 */
public final class Control implements Server.Front {

    /** What the operator's tools may see and ask of the daemon. */
    public interface Daemon {
        String name();

        /** The named state of the program. */
        String phase();

        /** Its place among the states, from 1. */
        int phaseNumber();

        boolean linked();

        boolean healthy();

        /** Requests in hand, and keys kept. */
        int[] inHand();

        double upSeconds();

        Counters counters();

        /** Gives the notice to leave. */
        void leave();
    }

    private static final int LONGEST_LINE = 80;
    private static final String HELP = """
            status    state, worker pool link, health, requests in hand
            counters  all that was taken in, sent and answered since the start
            drain     answer what is in hand, take nothing more, exit
            help      this list
            quit      leave the console; the daemon goes on
            """;

    private final Daemon daemon;

    public Control(Daemon daemon) {
        this.daemon = daemon;
    }

    @Override
    public void serve(Server.Connection connection) throws IOException {
        try {
            for (;;) {
                String word = Bytes.line(connection.in(), LONGEST_LINE).trim().toLowerCase(Locale.ROOT);
                if (word.equals("quit")) {
                    return;
                }
                connection.send((answer(word) + ".\r\n").getBytes(StandardCharsets.UTF_8));
            }
        } catch (EOFException end) {
            return;
        }
    }

    private String answer(String word) {
        return switch (word) {
            case "status" -> status();
            case "counters" -> daemon.counters().table();
            case "drain" -> {
                daemon.leave();
                yield "leaving: what is in hand is answered, then the program ends\n";
            }
            case "help", "" -> HELP;
            default -> "no such command; 'help' lists them\n";
        };
    }

    private String status() {
        int[] inHand = daemon.inHand();
        return String.format(Locale.ROOT, "name          %s%nstate         %s%nup            %.0f s%n"
                + "worker pool   %s%nhealth        %s%nin hand       %d requests%nkept          %d keys%n",
                daemon.name(), daemon.phase(), daemon.upSeconds(), daemon.linked() ? "linked" : "not linked",
                daemon.healthy() ? "good" : "bad", inHand[0], inHand[1]);
    }
}
