/** Events of each stream that an engine of the soak sends. */
export const STREAM_EVENTS = 12;
