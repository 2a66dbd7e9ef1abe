package org.skylarkmast.relay.forward;

import java.util.List;

/**
 * Tells the events that go on with a stream from those that do not: the ids of a stream's events
 * increase, also where a second runner continues it. Ids that are no numbers have no known order,
 * but one of them does not follow itself.
 */
final class EventSequence {

    private EventSequence() {}

    /**
     * Events as far as they go on with a stream.
     *
     * @param flaw why the next event does not, empty if all do
     */
    record Part(List<EventSplitter.Event> events, String flaw) {}

    /**
     * Returns the events that follow an event.
     *
     * @param lastEventId id of that event, empty if there is none with an id
     * @param requestId id of the request whose answer the stream is
     */
    static Part after(String lastEventId, List<EventSplitter.Event> events, String requestId) {
        String lastId = lastEventId;
        for (int i = 0; i < events.size(); i++) {
            EventSplitter.Event event = events.get(i);
            if (SecondAnswer.isIn(event.bytes(), requestId)) {
                return new Part(events.subList(0, i), "an answer begins within an event");
            }
            if (!event.hasOnlyFields()) {
                return new Part(events.subList(0, i), "a line is no field of an event");
            }
            if (!event.id().isEmpty()) {
                if (!isAfter(event.id(), lastId)) {
                    String flaw = "an event's id does not follow that of the event before";
                    return new Part(events.subList(0, i), flaw);
                }
                lastId = event.id();
            }
        }
        return new Part(events, "");
    }

    private static boolean isAfter(String id, String lastId) {
        if (!isNumber(id) || !isNumber(lastId)) {
            return !id.equals(lastId);
        }
        String number = withoutLeadingZeros(id);
        String lastNumber = withoutLeadingZeros(lastId);
        return number.length() == lastNumber.length()
                ? number.compareTo(lastNumber) > 0
                : number.length() > lastNumber.length();
    }

    private static boolean isNumber(String id) {
        return !id.isEmpty() && id.chars().allMatch(c -> c >= '0' && c <= '9');
    }

    private static String withoutLeadingZeros(String number) {
        int start = 0;
        while (start < number.length() && number.charAt(start) == '0') {
            start++;
        }
        return number.substring(start);
    }
}
