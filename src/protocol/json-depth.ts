/**
 * Limits the depth of JSON texts before they are parsed. Each container takes some 50 bytes of memory,
 * and `JSON.stringify` throws on a few thousand levels, so a deeply nested text takes far more memory
 * than its size and can't be written again.
 */

/** Maximum depth of containers; the deepest ones of the platform's messages are below 12. */
export const MAXIMUM_JSON_DEPTH = 64;

/** Codes of characters. */
const QUOTE = 0x22;
const BACKSLASH = 0x5c;
const OPENING_BRACKET = 0x5b;
const CLOSING_BRACKET = 0x5d;
const OPENING_BRACE = 0x7b;
const CLOSING_BRACE = 0x7d;

/** Returns the text with each container below the maximum depth replaced by null. */
export function limitJsonDepth(text: string): string {
  let depth = 0;
  let deepStart = 0;
  let copiedEnd = 0;
  let limited = '';
  for (let index = 0; index < text.length; index += 1) {
    const code = text.charCodeAt(index);
    if (code === QUOTE) index = endOfString(text, index);
    else if (code === OPENING_BRACKET || code === OPENING_BRACE) {
      depth += 1;
      if (depth === MAXIMUM_JSON_DEPTH + 1) deepStart = index;
    } else if (code === CLOSING_BRACKET || code === CLOSING_BRACE) {
      depth -= 1;
      if (depth === MAXIMUM_JSON_DEPTH) {
        limited += `${text.slice(copiedEnd, deepStart)}null`;
        copiedEnd = index + 1;
      }
    }
  }
  // A text that ends within such a container is not JSON.
  if (depth > MAXIMUM_JSON_DEPTH) return limited + text.slice(copiedEnd, deepStart);
  return copiedEnd === 0 ? text : limited + text.slice(copiedEnd);
}

/** Index of the quote that ends the string; the length of a text without it. */
function endOfString(text: string, start: number): number {
  let index = start + 1;
  while (index < text.length && text.charCodeAt(index) !== QUOTE) {
    index += text.charCodeAt(index) === BACKSLASH ? 2 : 1;
  }
  return index;
}
