/**
 * Contents of objects that the soak's store serves as the JSON text that was written: JSON can't be
 * written by programs of this language if it is too deep or has too large numbers.
 */

const FIELD = 'json_base64';
const ENCODED = new RegExp(`\\{"${FIELD}":"([A-Za-z0-9+/=]*)"\\}`, 'g');

/** The spec to write for a JSON text. */
export function rawSpec(json: string): Readonly<Record<string, string>> {
  return { [FIELD]: Buffer.from(json).toString('base64') };
}

/** Replaces the specs of {@link rawSpec} in the text of a response by their JSON texts. */
export function withRawSpecs(text: string): string {
  return text.replace(ENCODED, (_match, encoded: string) =>
    Buffer.from(encoded, 'base64').toString('utf8'),
  );
}
