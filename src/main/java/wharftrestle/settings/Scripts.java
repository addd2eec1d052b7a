package wharftrestle.settings;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Runs a script of the settings' language with words of the caller's own, such as a script of faults. It owns the way from
 * a fault to file, line and column; it must never know what a word means.
 */
public final class Scripts {

    /** A value as it was given, and where. */
    public record Value(Object value, Place place) { }

    /** One call of a word; values are Long, Double, String, Boolean, List, Map, or what another word was worth. */
    public record Call(String word, Map<String, Value> values, Place place) { }

    /** What is wrong with a call. */
    public static final class RefusedException extends Exception {
        private static final long serialVersionUID = 1L;
        private final transient Place place;

        public RefusedException(Place place, String message) {
            super(message, null, false, false);
            this.place = place;
        }

        /** Where it stands. */
        public Place place() {
            return place;
        }
    }

    /** The caller's words. */
    public interface Words {
        /** The values of a word, in their order; null where there is no such word. */
        List<String> values(String word);

        /** What a call is worth in the script; null for nothing. */
        Object called(Call call) throws RefusedException;
    }

    private Scripts() { }

    /**
     * Runs a script; the name is for faults.
     *
     * @throws BadSettingsException in one line: file, line, column, what was expected
     */
    public static void run(String name, String text, Words words) throws BadSettingsException {
        try {
            Script.run(text, new Script.Declarations() {
                @Override
                public boolean knows(String word) {
                    return words.values(word) != null;
                }

                @Override
                public List<String> order(String word) {
                    return words.values(word);
                }

                @Override
                public Object declare(Script.Declared declared) throws Script.Fault {
                    Map<String, Value> values = new LinkedHashMap<>();
                    List<String> known = words.values(declared.name());
                    for (Map.Entry<String, Script.Given> each : declared.arguments().entrySet()) {
                        if (!known.contains(each.getKey())) {
                            throw new Script.Fault(each.getValue().place(), declared.name() + " has no '" + each.getKey()
                                    + "', expected one of " + String.join(", ", known));
                        }
                        values.put(each.getKey(), new Value(each.getValue().value(), each.getValue().place()));
                    }
                    try {
                        Object worth = words.called(new Call(declared.name(), values, declared.place()));
                        return worth == null ? Script.NONE : worth;
                    } catch (RefusedException refused) {
                        throw new Script.Fault(refused.place, refused.getMessage());
                    }
                }
            });
        } catch (Script.Fault fault) {
            throw new BadSettingsException(name, fault.place(), fault.getMessage());
        }
    }
}
