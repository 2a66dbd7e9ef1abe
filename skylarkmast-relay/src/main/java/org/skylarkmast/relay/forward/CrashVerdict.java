package org.skylarkmast.relay.forward;

/** What the connections opened after a broken exchange tell about its runner. */
sealed interface CrashVerdict {

    /** The runner accepts connections or does not answer: its process has not ended. */
    record NotEnded() implements CrashVerdict {}

    /** The runner refuses connections while other runners accept them. */
    record Crashed() implements CrashVerdict {}

    /** Other runners cannot be reached either: this node appears to be cut off. */
    record CutOff() implements CrashVerdict {}

    /** Some of the other runners cannot be reached: a cut may be under way. */
    record Undecided() implements CrashVerdict {}

    /**
     * Judges the first connections after an exchange broke.
     *
     * @param refused whether the runner's host refused a connection
     * @param witnesses what other runners did at the same moment
     */
    static CrashVerdict first(boolean refused, CrashWitnesses.Round witnesses) {
        if (!refused) {
            return new NotEnded();
        }
        if (witnesses.accepting() == witnesses.probed()) {
            return new Crashed();
        }
        return witnesses.accepting() == 0 ? new CutOff() : new Undecided();
    }

    /**
     * Judges the connections opened a pause after an undecided verdict. A cut is complete by then;
     * after crashes of a few runners at once, most others still accept connections.
     */
    static CrashVerdict second(boolean refused, CrashWitnesses.Round witnesses) {
        if (!refused) {
            return new NotEnded();
        }
        return 2 * witnesses.accepting() >= witnesses.probed() ? new Crashed() : new CutOff();
    }

    /** Name of this verdict in metrics and logs. */
    default String label() {
        return switch (this) {
            case NotEnded notEnded -> "not_ended";
            case Crashed crashed -> "crashed";
            case CutOff cutOff -> "cut_off";
            case Undecided undecided -> "undecided";
        };
    }
}
