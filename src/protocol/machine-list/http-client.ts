/** Implements the machine list port over HTTP (docs/INTERFACES.md, "Machine list"). */
import { HttpStatus } from '../http-status.js';
import { z } from 'zod';
import { ProtocolFailure } from '../errors.js';
import { exchangeJson } from '../http-json.js';
import type { MachineList, MachineListPort } from './port.js';

const RESPONSE_TIMEOUT_MS = 2_000;

/** One machine, in the list's JSON and in the replicated document. */
export const machineSchema = z.object({
  id: z.string().min(1),
  kind: z.enum(['engine', 'backend', 'kv-store']),
  address: z.string(),
  zone: z.string(),
  site: z.string(),
  services: z.array(z.string()).default([]),
  leaving: z.boolean().default(false),
});

const listSchema = z.object({ version: z.number().int(), machines: z.array(machineSchema) });

/** Client of the machine list at one address. */
export class HttpMachineListClient implements MachineListPort {
  constructor(private readonly address: string) {}

  async watch(afterVersion: number, waitMs: number): Promise<MachineList | undefined> {
    const path = `/machines?after=${afterVersion}&wait_ms=${waitMs}`;
    const timeoutMs = waitMs + RESPONSE_TIMEOUT_MS;
    const response = await exchangeJson('GET', this.address, path, undefined, timeoutMs);
    if (response.status === HttpStatus.NotModified) return undefined;
    const list = listSchema.safeParse(response.body);
    if (response.status !== HttpStatus.Ok || !list.success) {
      const { status } = response;
      throw new ProtocolFailure({ kind: 'rejected', status, reason: 'machine list' });
    }
    return list.data;
  }
}
