package org.skylarkmast.core.config;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Text formats of the fields of objects and settings. */
public final class FieldFormats {

    /** What {@link #isName} accepts, for error messages. */
    public static final String NAME_FORM =
            "1 to 63 lower-case letters, digits, dots, hyphens or underscores, the first a letter"
                    + " or digit";

    /** What {@link #isFailureDomain} accepts, for error messages. */
    public static final String FAILURE_DOMAIN_FORM =
            "1 to 63 lower-case letters, digits or hyphens, the first and last a letter or digit";

    /** What {@link #isAddress} accepts, for error messages. */
    public static final String ADDRESS_FORM =
            "an IP address and a port, such as 10.0.0.1:8080 or [fd00::1]:8080";

    /** What {@link #isSha256} accepts, for error messages. */
    public static final String SHA256_FORM = "a SHA-256 digest of 64 lower-case hex digits";

    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");
    private static final Pattern FAILURE_DOMAIN =
            Pattern.compile("[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?");
    private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");
    private static final Pattern IPV4_ADDRESS =
            Pattern.compile("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3}):(\\d{1,5})");
    private static final Pattern IPV6_ADDRESS = Pattern.compile("\\[([0-9a-fA-F:]+)]:(\\d{1,5})");
    private static final int MAX_OCTET = 255;
    private static final int MAX_PORT = 65_535;
    private static final int IPV6_GROUPS = 8;
    private static final Pattern IPV6_GROUP = Pattern.compile("[0-9a-fA-F]{1,4}");

    private FieldFormats() {}

    /** Whether {@code text} is a valid name of an object or a node. */
    public static boolean isName(String text) {
        return NAME.matcher(text).matches();
    }

    /** Whether {@code text} is a valid name of a failure domain. */
    public static boolean isFailureDomain(String text) {
        return FAILURE_DOMAIN.matcher(text).matches();
    }

    /** Whether {@code text} is a SHA-256 digest in lower-case hex. */
    public static boolean isSha256(String text) {
        return SHA256.matcher(text).matches();
    }

    /** Whether {@code text} is an IP address with a port of at least 1; host names are rejected. */
    public static boolean isAddress(String text) {
        return isAddress(text, 1);
    }

    /** Like {@link #isAddress(String)}, but also accepts port 0, which requests a free port. */
    public static boolean isListenAddress(String text) {
        return isAddress(text, 0);
    }

    private static boolean isAddress(String text, int minPort) {
        Matcher ipv4 = IPV4_ADDRESS.matcher(text);
        if (ipv4.matches()) {
            for (int octet = 1; octet <= 4; octet++) {
                if (Integer.parseInt(ipv4.group(octet)) > MAX_OCTET) {
                    return false;
                }
            }
            return isPort(ipv4.group(5), minPort);
        }
        Matcher ipv6 = IPV6_ADDRESS.matcher(text);
        return ipv6.matches() && isIpv6(ipv6.group(1)) && isPort(ipv6.group(2), minPort);
    }

    private static boolean isPort(String digits, int minPort) {
        int port = Integer.parseInt(digits);
        return port >= minPort && port <= MAX_PORT;
    }

    private static boolean isIpv6(String text) {
        int gap = text.indexOf("::");
        if (gap < 0) {
            return countGroups(text) == IPV6_GROUPS;
        }
        int before = countGroups(text.substring(0, gap));
        int after = countGroups(text.substring(gap + 2));
        return before >= 0 && after >= 0 && before + after < IPV6_GROUPS;
    }

    /** Returns the number of colon-separated groups, or -1 if one is malformed. */
    private static int countGroups(String text) {
        if (text.isEmpty()) {
            return 0;
        }
        String[] groups = text.split(":", -1);
        for (String group : groups) {
            if (!IPV6_GROUP.matcher(group).matches()) {
                return -1;
            }
        }
        return groups.length;
    }
}
