package wharftrestle.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The numbers that stand for kinds on disk. */
class LogRecordKindTest {
  @Test
  void storedNumber_ofEachKind_isTheNumberOnDisk() {
    List<LogRecord.Kind> kinds = List.of(LogRecord.Kind.values());

    List<String> numbers = kinds.stream().map(kind -> kind.storedNumber() + " " + kind).toList();

    assertEquals(List.of("1 INTENT", "2 RESULT", "3 FAILED", "4 VOID"), numbers);
  }

  @Test
  void ofStoredNumber_ofEachNumber_isTheKindThatHasIt() {
    for (LogRecord.Kind kind : LogRecord.Kind.values()) {
      assertEquals(kind, LogRecord.Kind.ofStoredNumber(kind.storedNumber()));
    }
  }

  @Test
  void ofStoredNumber_ofAnyOther_isNone() {
    assertNull(LogRecord.Kind.ofStoredNumber(0));
    assertNull(LogRecord.Kind.ofStoredNumber(5));
    assertNull(LogRecord.Kind.ofStoredNumber(-1));
  }
}
