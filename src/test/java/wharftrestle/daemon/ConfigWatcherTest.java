package wharftrestle.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the polling of the configuration file. */
class ConfigWatcherTest {
  @TempDir private Path directory;

  @Test
  void watcherContinuesAfterAnErrorOfItsListener() throws Exception {
    Path file = Files.writeString(directory.resolve("config.json"), "0");
    BlockingQueue<String> notifications = new LinkedBlockingQueue<>();
    new ConfigWatcher(
            file,
            () -> {
              notifications.add("changed");
              throw new StackOverflowError("test");
            })
        .start();
    for (String text : new String[] {"1", "2"}) {
      Files.move(
          Files.writeString(directory.resolve("next"), text), file, StandardCopyOption.ATOMIC_MOVE);
      assertEquals("changed", notifications.poll(10, TimeUnit.SECONDS), text);
    }
  }
}
