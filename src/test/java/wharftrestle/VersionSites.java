package wharftrestle;

import wharftrestle.policy.Admission;

/** The stories' site, for tests of other packages. */
public final class VersionSites {
    private VersionSites() { }

    public static Admission.Settings settings() {
        return Sites.site().build();
    }
}
