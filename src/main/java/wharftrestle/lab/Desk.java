package wharftrestle.lab;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import wharftrestle.net.Bytes;

/** A stand-in front end's connection as RESP has it: one request at a time, with the whole answer as bytes. */
public final class Desk implements Closeable {
    private final Socket socket = new Socket();
    private final InputStream in;
    private int tag;
    private boolean closing;

    /** An answer: its word, its fields, its body. */
    public record Reply(String word, String fields, byte[] body) { }

    public Desk(InetSocketAddress to) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(to, 1000);
        socket.setSoTimeout(8000);
        in = new BufferedInputStream(socket.getInputStream());
    }

    public Reply ask(String type, long reference, String key, String body) throws IOException {
        String mine = Integer.toString(++tag);
        String fields = String.format("txn=%016x,door=%d,lb=1,ram=1,standing=0.5%s", reference,
                System.currentTimeMillis(), key == null ? "" : ",unique=" + key);
        StringBuilder text = new StringBuilder("*5\r\n");
        for (String word : new String[] {"ASK", mine, type, fields, body}) {
            text.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
        }
        socket.getOutputStream().write(Bytes.ascii(text.toString()));
        for (;;) {
            byte[][] words = read();
            String at = new String(words[0], StandardCharsets.ISO_8859_1);
            String word = new String(words[1], StandardCharsets.ISO_8859_1);
            if (at.equals(mine)) {
                return new Reply(word, new String(words[2], StandardCharsets.ISO_8859_1), words[3]);
            }
            closing |= at.equals("0") && word.equals("closing");
            if (!at.equals("0")) {
                throw new IOException("an answer to " + at + ", which was not asked");
            }
        }
    }

    /** True where it was told to go elsewhere: the connection ends soon. */
    public boolean closing() {
        return closing;
    }

    private byte[][] read() throws IOException {
        byte[][] words = new byte[Integer.parseInt(Bytes.line(in, 20).substring(1))][];
        for (int i = 0; i < words.length; i++) {
            words[i] = Bytes.exactly(in, Integer.parseInt(Bytes.line(in, 20).substring(1)));
            Bytes.crlf(in);
        }
        return words;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
