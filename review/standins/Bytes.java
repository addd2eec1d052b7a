package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/** Lines and bodies of the protocols, as ISO 8859-1 text. */
final class Bytes {
  private Bytes() {}

  static byte[] of(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  static String text(byte[] bytes) {
    return new String(bytes, StandardCharsets.ISO_8859_1);
  }

  /** A line without its CR LF; null at the end of the stream. */
  static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int c = in.read(); ; c = in.read()) {
      if (c < 0) {
        if (line.size() == 0) {
          return null;
        }
        throw new EOFException("end within a line");
      }
      if (c == '\r') {
        if (in.read() != '\n') {
          throw new IOException("CR without LF");
        }
        return text(line.toByteArray());
      }
      line.write(c);
    }
  }

  static String exactly(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("end within a body");
    }
    return text(bytes);
  }

  static void crlf(InputStream in) throws IOException {
    if (in.read() != '\r' || in.read() != '\n') {
      throw new IOException("no CR LF after a body");
    }
  }

  static String digest(String text) {
    CRC32 crc = new CRC32();
    crc.update(of(text));
    return Long.toHexString(crc.getValue());
  }
}
