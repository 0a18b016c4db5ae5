/**
 * Reads and writes the configuration object for operators. Writes are compare-and-swap and carry an
 * operation identifier, so that a write whose answer was lost is found by reading back.
 */
import { z } from 'zod';
import { type Clock, sleep } from '../runtime/clock.js';
import { TEMPLATES_OBJECT } from '../coordination/router/platform-reader.js';
import { ProtocolFailure } from '../protocol/errors.js';
import type { ObjectApiPort } from '../protocol/object-api/port.js';
import { type TemplateSet, checkTemplateSet } from '../state/template-set.js';

const READ_BACK_TRIES = 5;
const READ_BACK_PAUSE_MS = 400;

const storedSchema = z.object({
  configuration: z.unknown(),
  operation_id: z.string().default(''),
});

/** The configuration as stored; version 0 where there is none yet. */
export interface StoredTemplates {
  readonly version: number;
  readonly set: TemplateSet | undefined;
  readonly operationId: string;
}

/** What a write came to. */
export type WriteOutcome =
  | { readonly kind: 'written'; readonly version: number }
  /** Another operator's write came first; nothing was written. */
  | { readonly kind: 'conflict'; readonly present: StoredTemplates }
  /** The answer was lost and the store does not tell. */
  | { readonly kind: 'uncertain'; readonly reason: string };

/** The configuration object. */
export class TemplateStore {
  constructor(
    private readonly objects: ObjectApiPort,
    private readonly clock: Clock,
  ) {}

  async read(): Promise<StoredTemplates> {
    const object = await this.objects.read(TEMPLATES_OBJECT);
    if (!object) return { version: 0, set: undefined, operationId: '' };
    const stored = storedSchema.safeParse(parseQuietly(object.content));
    const verdict = checkTemplateSet(stored.data?.configuration);
    return {
      version: object.version,
      set: verdict.kind === 'valid' ? verdict.set : undefined,
      operationId: stored.data?.operation_id ?? '',
    };
  }

  /** Writes over `expectedVersion`. */
  async write(
    set: TemplateSet,
    expectedVersion: number,
    operationId: string,
  ): Promise<WriteOutcome> {
    const content = JSON.stringify({ configuration: set, operation_id: operationId });
    try {
      const version = await this.objects.write(TEMPLATES_OBJECT, content, expectedVersion);
      return { kind: 'written', version };
    } catch (error) {
      return this.explain(error, expectedVersion, operationId);
    }
  }

  private async explain(
    error: unknown,
    expectedVersion: number,
    operationId: string,
  ): Promise<WriteOutcome> {
    const cause = error instanceof ProtocolFailure ? error.error.kind : 'interrupted';
    if (cause === 'unreachable') throw error;
    for (let tries = 0; tries < READ_BACK_TRIES; tries += 1) {
      try {
        const present = await this.read();
        if (present.operationId === operationId) {
          return { kind: 'written', version: present.version };
        }
        if (present.version !== expectedVersion) return { kind: 'conflict', present };
        // Not there yet: the write may still be on its way, so that only time can tell.
      } catch {
        // The store is out; try again.
      }
      await sleep(this.clock, READ_BACK_PAUSE_MS);
    }
    return { kind: 'uncertain', reason: 'the answer was lost and the write was not found' };
  }
}

function parseQuietly(content: string): unknown {
  try {
    return JSON.parse(content);
  } catch {
    return undefined;
  }
}
