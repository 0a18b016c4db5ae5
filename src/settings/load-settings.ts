/** Reads a YAML settings file, applies overrides from flags, and validates the result. */
import { readFileSync } from 'node:fs';
import { parse } from 'yaml';
import type { z } from 'zod';
import { SettingsError } from './settings-error.js';

/** Values from flags, by path in the settings (`listen.peer`); undefined ones are ignored. */
export type SettingsOverrides = Readonly<Record<string, string | number | undefined>>;

const FLAGS_SOURCE = 'flags';

/** Reads and parses a YAML file; throws a `SettingsError`. */
export function readYaml(file: string): unknown {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    throw new SettingsError(file, '', `cannot be read (${reasonOf(error)})`);
  }
  try {
    return parse(text);
  } catch (error) {
    throw new SettingsError(file, '', `is not YAML (${reasonOf(error).split('\n')[0]})`);
  }
}

/** Loads settings from a file and flags, or from flags alone; throws a `SettingsError`. */
export function loadSettings<Schema extends z.ZodType>(
  schema: Schema,
  file: string | undefined,
  overrides: SettingsOverrides,
): z.infer<Schema> {
  const source = file ?? FLAGS_SOURCE;
  const base = file === undefined ? {} : readYaml(file);
  if (base !== null && typeof base !== 'object') {
    throw new SettingsError(source, '', 'expected a mapping');
  }
  return checkSettings(schema, applyOverrides(base ?? {}, overrides), source);
}

/** Validates a parsed value; throws a `SettingsError` for the first issue. */
export function checkSettings<Schema extends z.ZodType>(
  schema: Schema,
  value: unknown,
  source: string,
): z.infer<Schema> {
  const checked = schema.safeParse(value);
  if (checked.success) return checked.data;
  const [issue] = checked.error.issues;
  throw new SettingsError(source, issue?.path.join('.') ?? '', issue?.message ?? 'malformed');
}

function applyOverrides(base: object, overrides: SettingsOverrides): object {
  const merged = structuredClone(base) as Record<string, unknown>;
  for (const [path, value] of Object.entries(overrides)) {
    if (value !== undefined) setPath(merged, path.split('.'), value);
  }
  return merged;
}

function setPath(target: Record<string, unknown>, path: readonly string[], value: unknown): void {
  const [head, ...rest] = path;
  if (head === undefined) return;
  if (rest.length === 0) {
    target[head] = value;
    return;
  }
  const child = target[head];
  const next = typeof child === 'object' && child !== null ? child : {};
  target[head] = next;
  setPath(next as Record<string, unknown>, rest, value);
}

function reasonOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
