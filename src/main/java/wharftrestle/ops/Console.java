package wharftrestle.ops;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * The operator's end of the control port, on a terminal or in a script. It owns the prompt and nothing of the
 * daemon; the daemon goes on whatever happens here.
 */
public final class Console {
    private static final int CONNECT_MS = 3000;
    private static final int ANSWER_MS = 10_000;

    private final BufferedReader in;
    private final PrintStream out;
    private final PrintStream err;

    public Console(InputStream in, PrintStream out, PrintStream err) {
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
        this.out = out;
        this.err = err;
    }

    /** Sends one command, or asks for commands until the end; the exit code. */
    public int attach(InetSocketAddress address, String command) {
        try (Socket socket = new Socket()) {
            socket.connect(address, CONNECT_MS);
            socket.setSoTimeout(ANSWER_MS);
            BufferedReader answers = new BufferedReader(
                    new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
            if (command != null) {
                ask(socket, answers, command);
                return 0;
            }
            out.println("attached to " + address.getHostString() + ":" + address.getPort()
                    + "; 'help' lists the commands");
            for (String word = prompt(); word != null && !word.equals("quit"); word = prompt()) {
                ask(socket, answers, word);
            }
            return 0;
        } catch (IOException e) {
            err.println("wharftrestle: control at " + address.getHostString() + ":" + address.getPort() + ": "
                    + e.getMessage());
            return 1;
        }
    }

    private String prompt() throws IOException {
        out.print("wharftrestle> ");
        out.flush();
        String line = in.readLine();
        return line == null ? null : line.trim();
    }

    private void ask(Socket socket, BufferedReader answers, String word) throws IOException {
        String plain = word.replaceAll("\\p{Cntrl}", " ");
        socket.getOutputStream().write((plain + "\r\n").getBytes(StandardCharsets.UTF_8));
        for (String line = answers.readLine(); !".".equals(line); line = answers.readLine()) {
            if (line == null) {
                throw new IOException("the daemon has closed the console");
            }
            out.println(line);
        }
    }
}
