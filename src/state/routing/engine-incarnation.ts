/**
 * Identity of one life of an engine. An engine may start again under the name that it had; it then holds
 * and knows nothing of before, so nothing that is remembered of one life may be taken for another.
 */

/** What identifies one life: the engine's name and its start. */
export interface EngineIncarnation {
  /** The platform's identifier, the same in every life. */
  readonly name: string;
  /** Start in Unix milliseconds, by the engine's clock; undefined where it is not stated. */
  readonly bornMs: number | undefined;
}

const STATED_INCARNATION = /^(.+)@(\d{1,16})$/;

/** Identity of one life: the name alone where no start is stated. */
export function incarnationOf(name: string, bornMs: number | undefined): string {
  return bornMs === undefined ? name : `${name}@${bornMs}`;
}

/** The life that an identity of {@link incarnationOf} names. */
export function parseIncarnation(incarnation: string): EngineIncarnation {
  const match = STATED_INCARNATION.exec(incarnation);
  if (!match?.[1] || !match[2]) return { name: incarnation, bornMs: undefined };
  return { name: match[1], bornMs: Number(match[2]) };
}

/** Whether two statements of a start contradict each other; one that is left out contradicts none. */
export function isDifferentIncarnation(
  leftMs: number | undefined,
  rightMs: number | undefined,
): boolean {
  return leftMs !== undefined && rightMs !== undefined && leftMs !== rightMs;
}

/** Whether a start that was heard is later than the one known. */
export function isLaterIncarnation(
  heardMs: number | undefined,
  knownMs: number | undefined,
): boolean {
  return heardMs !== undefined && heardMs > (knownMs ?? -Infinity);
}
