/** Implements the object API port over HTTP (docs/INTERFACES.md, "Object API"). */
import { HttpStatus } from '../http-status.js';
import { z } from 'zod';
import { ProtocolFailure } from '../errors.js';
import { type JsonResponse, exchangeJson } from '../http-json.js';
import type { ObjectApiPort, StoredObject } from './port.js';

const RESPONSE_TIMEOUT_MS = 2_000;

const objectSchema = z.object({ version: z.number().int(), content: z.string() });
const writtenSchema = z.object({ version: z.number().int() });

/** Client of the object API at one address. */
export class HttpObjectApiClient implements ObjectApiPort {
  constructor(private readonly address: string) {}

  async read(name: string): Promise<StoredObject | undefined> {
    const response = await exchangeJson(
      'GET',
      this.address,
      pathOf(name),
      undefined,
      RESPONSE_TIMEOUT_MS,
    );
    return response.status === HttpStatus.NotFound ? undefined : parseObject(response);
  }

  async write(name: string, content: string, expectedVersion: number): Promise<number> {
    const payload = { content, expected_version: expectedVersion };
    const response = await exchangeJson(
      'PUT',
      this.address,
      pathOf(name),
      payload,
      RESPONSE_TIMEOUT_MS,
    );
    const written = writtenSchema.safeParse(response.body);
    if (response.status === HttpStatus.Conflict && written.success) {
      throw new ProtocolFailure({ kind: 'conflict', presentVersion: written.data.version });
    }
    if (response.status !== HttpStatus.Ok || !written.success) throw rejection(response);
    return written.data.version;
  }

  async watch(
    name: string,
    afterVersion: number,
    waitMs: number,
  ): Promise<StoredObject | undefined> {
    const path = `${pathOf(name)}?after=${afterVersion}&wait_ms=${waitMs}`;
    const timeoutMs = waitMs + RESPONSE_TIMEOUT_MS;
    const response = await exchangeJson('GET', this.address, path, undefined, timeoutMs);
    return response.status === HttpStatus.NotModified ? undefined : parseObject(response);
  }
}

function pathOf(name: string): string {
  return `/objects/${encodeURIComponent(name)}`;
}

function parseObject(response: JsonResponse): StoredObject {
  const object = objectSchema.safeParse(response.body);
  if (response.status !== HttpStatus.Ok || !object.success) throw rejection(response);
  return object.data;
}

function rejection(response: JsonResponse): ProtocolFailure {
  return new ProtocolFailure({ kind: 'rejected', status: response.status, reason: 'object API' });
}
