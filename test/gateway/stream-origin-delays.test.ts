/** Guards against streams that a delayed router rejects although the answer on their origin has arrived. */
import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import test from 'ava';
import { create } from '@bufbuild/protobuf';
import {
  type OriginFinding,
  StreamOriginQuestions,
} from '../../src/coordination/gateway/stream-origin-questions.js';
import { StreamOriginAnswerSchema } from '../../src/protocol/peer/generated/cluster_pb.js';
import { SystemClock } from '../../src/runtime/clock.js';
import { holdEventLoop } from '../helpers/event-loop.js';
import { NoopLogger } from '../../src/runtime/logger.js';

const SERVICE = 'generation';
const HOLDER = 'router-1:7000';
/** Longer than a router waits for an answer. */
const HELD_MS = 100;

test.serial('an answer that waits in the socket of a delayed router is read', async (t) => {
  const socket = createSocket('udp4').bind(0, '127.0.0.1');
  await once(socket, 'listening');
  t.teardown(() => socket.close());
  const { port } = socket.address();
  const unknown: OriginFinding = { kind: 'unknown' };
  const questions = new StreamOriginQuestions({
    group: {
      ownAddress: 'router-0:7000',
      otherRouterAddresses: [HOLDER],
      // The answer arrives at once.
      send: () => socket.send('answer', port, '127.0.0.1'),
    },
    knowledge: {
      isMixed: () => true,
      findingWithout: () => unknown,
      confirm: () => Promise.resolve(false),
    },
    clock: new SystemClock(),
    logger: new NoopLogger(),
  });
  t.teardown(() => questions.stop());
  const answer = {
    attemptId: 'a',
    responder: HOLDER,
    isKnown: true,
    service: SERVICE,
    build: 'v1',
  };
  socket.on('message', () => questions.receive(create(StreamOriginAnswerSchema, answer)));
  const finding = await new Promise<OriginFinding>((resolve) => {
    questions.ask('a', SERVICE, [HOLDER], resolve);
    setImmediate(() => holdEventLoop(HELD_MS));
  });
  t.is(finding.kind, 'known');
});
