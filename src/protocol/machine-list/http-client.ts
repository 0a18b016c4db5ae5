/** The machine list port over HTTP (docs/INTERFACES.md, "Machine list"). */
import { HttpStatus } from '../http-status.js';
import { z } from 'zod';
import { ProtocolFailure } from '../errors.js';
import { exchangeJson } from '../http-json.js';
import type { MachineList, MachineListPort } from './port.js';

const ANSWER_TIMEOUT_MS = 2_000;

/** One machine, in JSON as in the replicated document. */
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

/** The machine list at one address. */
export class HttpMachineListClient implements MachineListPort {
  constructor(private readonly address: string) {}

  async watch(afterVersion: number, waitMs: number): Promise<MachineList | undefined> {
    const path = `/machines?after=${afterVersion}&wait_ms=${waitMs}`;
    const timeoutMs = waitMs + ANSWER_TIMEOUT_MS;
    const answer = await exchangeJson('GET', this.address, path, undefined, timeoutMs);
    if (answer.status === HttpStatus.NotModified) return undefined;
    const list = listSchema.safeParse(answer.body);
    if (answer.status !== HttpStatus.Ok || !list.success) {
      const { status } = answer;
      throw new ProtocolFailure({ kind: 'rejected', status, reason: 'machine list' });
    }
    return list.data;
  }
}
