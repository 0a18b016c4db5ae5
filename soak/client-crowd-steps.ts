/** Steps of a soak in which clients that do not behave come to a router, beside faults and operations. */
import { type RandomSource, randomElement, randomInteger } from '../src/runtime/random.js';
import {
  type Crowd,
  admitCrowd,
  endlessBody,
  pipelined,
  unendedHead,
  unendedUpload,
} from './client-crowds.js';
import type { Deployment } from './deployment.js';
import type { StepFactory } from './schedule.js';
import { HOST } from './wire.js';

const MINIMUM_STAY_MS = 500;
const MAXIMUM_STAY_MS = 4_000;
const MINIMUM_CLIENTS = 8;
const MAXIMUM_CLIENTS = 40;
/** A key that is never removed. */
const VALID_KEY = 'key-1a';
const UNKNOWN_KEY = 'key-of-nobody';
const DIRECTORY_PATH = '/resolve?zone=zone-a&region=region-a';

/** What a crowd does, and where. None of its requests is ever complete and served. */
interface CrowdKind {
  readonly name: string;
  readonly listener: 'frontend' | 'directory' | 'ready';
  readonly isReading?: boolean;
  bytesOf(): Iterable<Buffer>;
}

function* directoryBody(): Iterable<Buffer> {
  const head = `POST ${DIRECTORY_PATH} HTTP/1.1\r\nHost: ${HOST}\r\nTransfer-Encoding: chunked\r\n`;
  yield Buffer.from(`${head}\r\n`);
  yield* endlessBody(100_000, 1);
}

const KINDS: readonly CrowdKind[] = [
  {
    name: 'bodies in chunks of one byte',
    listener: 'frontend',
    bytesOf: () => unendedUpload('/plain/unsafe/x', VALID_KEY, 60_000, 1),
  },
  {
    name: 'bodies with a key that nobody has',
    listener: 'frontend',
    bytesOf: () => unendedUpload('/plain/unsafe/x', UNKNOWN_KEY, 60_000, 1),
  },
  {
    name: 'long bodies that stop short of their end',
    listener: 'frontend',
    bytesOf: () => unendedUpload('/plain/unsafe/x', VALID_KEY, 900_000, 4_000),
  },
  {
    name: 'pipelined heads that are not read',
    listener: 'frontend',
    isReading: false,
    bytesOf: () => pipelined('/unknown/x', UNKNOWN_KEY, 500, 300),
  },
  {
    name: 'heads without an end',
    listener: 'frontend',
    bytesOf: () => unendedHead('/plain/unsafe/x', 40_000),
  },
  { name: 'idle connections', listener: 'frontend', bytesOf: () => [] },
  { name: 'bodies at the directory', listener: 'directory', bytesOf: directoryBody },
  {
    name: 'probes that are not read',
    listener: 'ready',
    isReading: false,
    bytesOf: () => pipelined('/readiness', '', 500, 150),
  },
];

function drawCrowd(random: RandomSource): { kind: CrowdKind; crowd: Crowd } {
  const kind = randomElement(random, KINDS) as CrowdKind;
  const clients = MINIMUM_CLIENTS + randomInteger(random, MAXIMUM_CLIENTS - MINIMUM_CLIENTS);
  const { bytesOf, isReading = true } = kind;
  return { kind, crowd: { clients, bytesOf, isReading } };
}

async function stayAt(
  { routers }: Deployment,
  index: number,
  { listener }: CrowdKind,
  crowd: Crowd,
  stayMs: number,
): Promise<void> {
  const options = routers[index]?.options;
  if (!options) return;
  const leave = admitCrowd(crowd, `${options.ip}:${options.ports[listener]}`);
  await new Promise((resolve) => setTimeout(resolve, stayMs));
  await leave();
}

/** A crowd comes to one router, stays and leaves; the router may stop or be killed meanwhile. */
const visitRouter: StepFactory = (random, routers) => {
  const { kind, crowd } = drawCrowd(random);
  const index = randomInteger(random, routers);
  const stayMs = MINIMUM_STAY_MS + randomInteger(random, MAXIMUM_STAY_MS - MINIMUM_STAY_MS);
  return {
    name: `${crowd.clients} clients with ${kind.name} at router-${index} for ${stayMs} ms`,
    run: (deployment) => stayAt(deployment, index, kind, crowd, stayMs),
  };
};

/** A crowd is at a router that stops. */
const visitStoppingRouter: StepFactory = (random, routers) => {
  const { kind, crowd } = drawCrowd(random);
  const index = randomInteger(random, routers);
  return {
    name: `${crowd.clients} clients with ${kind.name} at router-${index}, which stops`,
    run: async (deployment) => {
      const staying = stayAt(deployment, index, kind, crowd, MAXIMUM_STAY_MS);
      setTimeout(() => deployment.routers[index]?.stop(), MINIMUM_STAY_MS);
      await staying;
    },
  };
};

export const CLIENT_CROWD_STEPS: readonly StepFactory[] = [
  visitRouter,
  visitRouter,
  visitRouter,
  visitRouter,
  visitStoppingRouter,
  visitStoppingRouter,
];
