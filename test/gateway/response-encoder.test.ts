/** Guards against lost or altered changes, and repeated encoding, in relay responses. */
import test from 'ava';
import fc from 'fast-check';
import { ResponseEncoder } from '../../src/coordination/gateway/store-relay/response-encoder.js';
import type { ObjectEvent } from '../../src/protocol/object-store/port.js';
import { type EncodedChanges } from '../../src/protocol/peer/encoded-changes.js';
import { decodeRelayFrame, encodeRelayResponse } from '../../src/protocol/peer/relay-codec.js';
import { positionAt } from '../helpers/positions.js';

const HEAD = { number: 3, isKnown: true, position: positionAt(40), proofAgeMs: 12, heldMs: 5 };
const SPAN = { kind: 'servers', from: undefined, to: positionAt(40) };

function eventOf(index: number, isGone: boolean): ObjectEvent {
  const spec = { service: 'model-service', address: `10.0.0.${index}:80`, zone: 'zone-a' };
  const object = {
    name: `engine-${index}`,
    position: positionAt(index + 1),
    spec: isGone ? undefined : spec,
  };
  return { object, isGone };
}

function decodedEvents(changes: EncodedChanges): readonly ObjectEvent[] | undefined {
  const message = decodeRelayFrame(encodeRelayResponse(HEAD, changes));
  return message?.kind === 'answer' ? message.answer.events : undefined;
}

test('encoded changes decode unchanged, deflated or not', (t) => {
  const anyEvents = fc.array(fc.boolean(), { maxLength: 60 });
  const property = fc.property(anyEvents, fc.boolean(), (gone, acceptsDeflated) => {
    const events = gone.map((isGone, index) => eventOf(index, isGone));
    const changes = new ResponseEncoder().encode(SPAN, events, acceptsDeflated);
    t.deepEqual(decodedEvents(changes), events);
    if (!acceptsDeflated) t.is(changes.kind, 'plain');
  });
  fc.assert(property, { seed: 1, numRuns: 200 });
});

test('many changes are deflated only for routers that accept it', (t) => {
  const events = Array.from({ length: 200 }, (_, index) => eventOf(index, false));
  const encoder = new ResponseEncoder();
  const deflated = encodeRelayResponse(HEAD, encoder.encode(SPAN, events, true));
  const plain = encodeRelayResponse(HEAD, encoder.encode(SPAN, events, false));
  t.true(deflated.length < plain.length / 5, `${deflated.length} of ${plain.length} bytes`);
});

test('equal changes are encoded once, other changes separately', (t) => {
  const events = Array.from({ length: 200 }, (_, index) => eventOf(index, false));
  const encoder = new ResponseEncoder();
  const first = encoder.encode(SPAN, events, true);
  t.is(encoder.encode(SPAN, events, true), first);
  const later = [...events, eventOf(200, false)];
  const next = encoder.encode({ ...SPAN, to: positionAt(41) }, later, true);
  t.deepEqual(decodedEvents(next), later);
  t.not(encoder.encode({ ...SPAN, kind: 'config' }, events, true), first);
});

test('a frame whose deflated changes are invalid is malformed', (t) => {
  const bytes = new Uint8Array([1, 2, 3]);
  t.is(decodeRelayFrame(encodeRelayResponse(HEAD, { kind: 'deflated', bytes })), undefined);
});
