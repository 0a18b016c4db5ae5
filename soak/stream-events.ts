/** Number of events in each stream of a fake engine. */
export const STREAM_EVENTS = 12;
