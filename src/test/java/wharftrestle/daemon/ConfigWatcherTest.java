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

/** The look at a configuration where hangups are not heard. */
class ConfigWatcherTest {
  @TempDir private Path folder;

  @Test
  void aWatchGoesOnAfterAnError() throws Exception {
    Path file = Files.writeString(folder.resolve("config.json"), "0");
    BlockingQueue<String> told = new LinkedBlockingQueue<>();
    new ConfigWatcher(
            file,
            () -> {
              told.add("changed");
              throw new StackOverflowError("made up");
            })
        .start();
    for (String text : new String[] {"1", "2"}) {
      Files.move(
          Files.writeString(folder.resolve("next"), text), file, StandardCopyOption.ATOMIC_MOVE);
      assertEquals("changed", told.poll(10, TimeUnit.SECONDS), text);
    }
  }
}
