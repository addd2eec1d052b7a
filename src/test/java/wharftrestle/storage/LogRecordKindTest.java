package wharftrestle.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks the numbers by which record kinds are stored on disk. */
class LogRecordKindTest {
  @Test
  void storedNumber_ofEachKind_matchesFormatOnDisk() {
    List<LogRecord.Kind> kinds = List.of(LogRecord.Kind.values());

    List<String> numbers = kinds.stream().map(kind -> kind.storedNumber() + " " + kind).toList();

    assertEquals(List.of("1 INTENT", "2 RESULT", "3 FAILED", "4 VOID"), numbers);
  }

  @Test
  void ofStoredNumber_withNumberOfKind_returnsKind() {
    for (LogRecord.Kind kind : LogRecord.Kind.values()) {
      assertEquals(kind, LogRecord.Kind.ofStoredNumber(kind.storedNumber()));
    }
  }

  @Test
  void ofStoredNumber_withUnknownNumber_returnsNull() {
    assertNull(LogRecord.Kind.ofStoredNumber(0));
    assertNull(LogRecord.Kind.ofStoredNumber(5));
    assertNull(LogRecord.Kind.ofStoredNumber(-1));
  }
}
