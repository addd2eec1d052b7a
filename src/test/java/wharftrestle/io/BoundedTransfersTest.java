package wharftrestle.io;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.WritableByteChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against transfers that are larger than their bound, and against bytes that they lose. */
class BoundedTransfersTest {
  private static final int MAX = BoundedTransfers.MAX_BYTES;

  @TempDir private Path folder;

  private static byte[] bytes(int length) {
    byte[] bytes = new byte[length];
    new Random(length).nextBytes(bytes);
    return bytes;
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, MAX - 1, MAX, MAX + 1, 5 * MAX + 7})
  void writeAndRead_atAnOffsetOfAFile_transferAllBytes(int length) throws Exception {
    byte[] content = bytes(length);
    ByteBuffer target = ByteBuffer.allocate(length + 10);
    try (FileChannel file =
        FileChannel.open(
            folder.resolve("file"),
            StandardOpenOption.CREATE,
            StandardOpenOption.READ,
            StandardOpenOption.WRITE)) {
      BoundedTransfers.write(file, 3, ByteBuffer.wrap(content));

      BoundedTransfers.read(file, 3, target);
    }

    byte[] read = new byte[target.flip().remaining()];
    target.get(read);
    assertArrayEquals(content, read, "a read ends where the file ends");
  }

  @Test
  void writeToASocket_passesOnAtMostTheBoundAtATime() throws Exception {
    byte[] content = bytes(3 * MAX + 1);
    int[] largest = {0};
    ByteArrayOutputStream output =
        new ByteArrayOutputStream() {
          @Override
          public synchronized void write(byte[] buffer, int offset, int length) {
            largest[0] = Math.max(largest[0], length);
            super.write(buffer, offset, length);
          }
        };

    BoundedTransfers.write(output, content);

    assertArrayEquals(content, output.toByteArray());
    assertEquals(MAX, largest[0]);
  }

  @Test
  void writeSomeToAChannel_keepsTheRest() throws Exception {
    byte[] content = bytes(2 * MAX + 1);
    ByteBuffer source = ByteBuffer.wrap(content);
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    WritableByteChannel channel =
        new WritableByteChannel() {
          @Override
          public int write(ByteBuffer part) {
            assertTrue(part.remaining() <= MAX, part + ": expected at most " + MAX);
            byte[] taken = new byte[Math.min(1000, part.remaining())];
            part.get(taken);
            output.writeBytes(taken);
            return taken.length;
          }

          @Override
          public boolean isOpen() {
            return true;
          }

          @Override
          public void close() {}
        };

    while (source.hasRemaining()) {
      BoundedTransfers.writeSome(channel, source);
    }

    assertArrayEquals(content, output.toByteArray());
  }

  @Test
  void readFile_upToItsLimit_orSaysThatItIsTooLong() throws Exception {
    Path file = Files.write(folder.resolve("file"), bytes(2 * MAX));

    assertArrayEquals(bytes(2 * MAX), BoundedTransfers.readFile(file, 2 * MAX));
    FileTooLargeException tooLarge =
        assertThrows(
            FileTooLargeException.class, () -> BoundedTransfers.readFile(file, 2 * MAX - 1));
    assertEquals(file + " is longer than " + (2 * MAX - 1) + " bytes", tooLarge.getMessage());
  }
}
