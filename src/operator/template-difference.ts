/** Compares two configurations, entry by entry. */
import { splitTemplateSet } from '../state/template-sections.js';
import type { TemplateSet } from '../state/template-set.js';

/** An entry that differs; a side is undefined if it lacks the entry. */
export interface EntryDifference {
  /** `tenants/NAME`, `templates/NAME`, `models/NAME` or `services/NAME`. */
  readonly entry: string;
  readonly before: unknown;
  readonly after: unknown;
}

/** All entries that differ, sorted by name. */
export function differencesBetween(
  before: TemplateSet | undefined,
  after: TemplateSet | undefined,
): EntryDifference[] {
  const left = before ? splitTemplateSet(before) : new Map<string, string>();
  const right = after ? splitTemplateSet(after) : new Map<string, string>();
  const entries = [...new Set([...left.keys(), ...right.keys()])].sort();
  return entries
    .filter((entry) => left.get(entry) !== right.get(entry))
    .map((entry) => ({
      entry,
      before: parseOptional(left.get(entry)),
      after: parseOptional(right.get(entry)),
    }));
}

/** Formats differences as text: `-` marks the old value and `+` the new one. */
export function formatDifferences(differences: readonly EntryDifference[]): string {
  const lines: string[] = [];
  for (const { entry, before, after } of differences) {
    lines.push(entry);
    if (before !== undefined) lines.push(`- ${JSON.stringify(before)}`);
    if (after !== undefined) lines.push(`+ ${JSON.stringify(after)}`);
  }
  return lines.join('\n');
}

function parseOptional(text: string | undefined): unknown {
  return text === undefined ? undefined : JSON.parse(text);
}
