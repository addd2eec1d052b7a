package wharftrestle;

import java.io.IOException;
import wharftrestle.wire.WireAdapter;

/** Command line: the adapter is its only subcommand. */
public final class Main {
    private Main() { }

    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("adapter")) {
            System.err.println("usage: java -jar wharftrestle.jar adapter");
            System.exit(2);
        }
        new WireAdapter(GroupEdfScheduler::new).serve(System.in, System.out);
    }
}
