/** The object API port over HTTP (docs/INTERFACES.md, "Object API"). */
import { HttpStatus } from '../http-status.js';
import { z } from 'zod';
import { ProtocolFailure } from '../errors.js';
import { type JsonAnswer, exchangeJson } from '../http-json.js';
import type { ObjectApiPort, StoredObject } from './port.js';

const ANSWER_TIMEOUT_MS = 2_000;

const objectSchema = z.object({ version: z.number().int(), content: z.string() });
const writtenSchema = z.object({ version: z.number().int() });

/** The object API at one address. */
export class HttpObjectApiClient implements ObjectApiPort {
  constructor(private readonly address: string) {}

  async read(name: string): Promise<StoredObject | undefined> {
    const answer = await exchangeJson(
      'GET',
      this.address,
      pathOf(name),
      undefined,
      ANSWER_TIMEOUT_MS,
    );
    return answer.status === HttpStatus.NotFound ? undefined : objectOf(answer);
  }

  async write(name: string, content: string, expectedVersion: number): Promise<number> {
    const payload = { content, expected_version: expectedVersion };
    const answer = await exchangeJson(
      'PUT',
      this.address,
      pathOf(name),
      payload,
      ANSWER_TIMEOUT_MS,
    );
    const written = writtenSchema.safeParse(answer.body);
    if (answer.status === HttpStatus.Conflict && written.success) {
      throw new ProtocolFailure({ kind: 'conflict', presentVersion: written.data.version });
    }
    if (answer.status !== HttpStatus.Ok || !written.success) throw rejected(answer);
    return written.data.version;
  }

  async watch(
    name: string,
    afterVersion: number,
    waitMs: number,
  ): Promise<StoredObject | undefined> {
    const path = `${pathOf(name)}?after=${afterVersion}&wait_ms=${waitMs}`;
    const timeoutMs = waitMs + ANSWER_TIMEOUT_MS;
    const answer = await exchangeJson('GET', this.address, path, undefined, timeoutMs);
    return answer.status === HttpStatus.NotModified ? undefined : objectOf(answer);
  }
}

function pathOf(name: string): string {
  return `/objects/${encodeURIComponent(name)}`;
}

function objectOf(answer: JsonAnswer): StoredObject {
  const object = objectSchema.safeParse(answer.body);
  if (answer.status !== HttpStatus.Ok || !object.success) throw rejected(answer);
  return object.data;
}

function rejected(answer: JsonAnswer): ProtocolFailure {
  return new ProtocolFailure({ kind: 'rejected', status: answer.status, reason: 'object API' });
}
