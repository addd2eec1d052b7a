package wharftrestle.io;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.WritableByteChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Splits input and output into transfers of at most {@link #MAX_BYTES}. The JDK copies each
 * transfer between a heap buffer and a channel or socket through a direct buffer of the transfer's
 * size, and the thread keeps that buffer until it ends. With bounded transfers, a thread keeps at
 * most {@link #MAX_BYTES} of direct memory, whatever the size of a file or message.
 */
public final class BoundedTransfers {
  /** Largest transfer in bytes; the longest answer of the platform's protocol fits into one. */
  public static final int MAX_BYTES = 8 * 1024;

  private BoundedTransfers() {}

  /** Fills a buffer from a position of a file; only in part if the file ends before. */
  public static void read(FileChannel file, long position, ByteBuffer target) throws IOException {
    int limit = target.limit();
    long next = position;
    int count = 0;
    while (count >= 0 && target.position() < limit) {
      target.limit(Math.min(limit, target.position() + MAX_BYTES));
      try {
        count = file.read(target, next);
      } finally {
        target.limit(limit);
      }
      next += Math.max(0, count);
    }
  }

  /** Writes all remaining bytes of a buffer at a position of a file. */
  public static void write(FileChannel file, long position, ByteBuffer source) throws IOException {
    int limit = source.limit();
    long next = position;
    while (source.position() < limit) {
      source.limit(Math.min(limit, source.position() + MAX_BYTES));
      try {
        next += file.write(source, next);
      } finally {
        source.limit(limit);
      }
    }
  }

  /** Writes all bytes to the output of a socket. */
  public static void write(OutputStream output, byte[] bytes) throws IOException {
    for (int offset = 0; offset < bytes.length; offset += MAX_BYTES) {
      output.write(bytes, offset, Math.min(MAX_BYTES, bytes.length - offset));
    }
  }

  /** Writes some of the remaining bytes of a buffer to a channel. */
  public static void writeSome(WritableByteChannel channel, ByteBuffer source) throws IOException {
    int limit = source.limit();
    source.limit(Math.min(limit, source.position() + MAX_BYTES));
    try {
      channel.write(source);
    } finally {
      source.limit(limit);
    }
  }

  /**
   * Reads a whole file of limited size.
   *
   * @throws FileTooLargeException if it is longer than {@code maxBytes}
   */
  public static byte[] readFile(Path path, int maxBytes) throws IOException {
    try (FileChannel file = FileChannel.open(path, StandardOpenOption.READ)) {
      ByteArrayOutputStream content = new ByteArrayOutputStream();
      ByteBuffer part = ByteBuffer.allocate(MAX_BYTES);
      for (long position = 0; ; position += part.limit()) {
        read(file, position, part.clear());
        part.flip();
        if (!part.hasRemaining()) {
          return content.toByteArray();
        }
        content.write(part.array(), 0, part.limit());
        if (content.size() > maxBytes) {
          throw new FileTooLargeException(path, maxBytes);
        }
      }
    }
  }
}
