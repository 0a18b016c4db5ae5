/**
 * Guards against a response that can only be reset: the head of a stream was passed on before any
 * event, so that a request whose engine then failed could get no other response.
 */
import test from 'ava';
import { CallResponse } from '../../src/coordination/gateway/call-response.js';
import { RecordedReply } from '../../src/lab/gateway-simulation/recorded-reply.js';
import { BodyFraming, type ResponseHead } from '../../src/protocol/inference/port.js';

const NOW_MS = 0;
const STREAM = { isStream: true, isResumable: true };

function headOf(status: number): ResponseHead {
  const framing = BodyFraming.Chunks;
  return { status, headers: [], contentLength: undefined, framing, isAttested: true };
}

function openStream(): { reply: RecordedReply; response: CallResponse } {
  const reply = new RecordedReply();
  const response = new CallResponse(reply);
  response.handleHead(headOf(200), STREAM);
  return { reply, response };
}

test('the head of a stream is passed on with its first whole event', (t) => {
  const { reply, response } = openStream();
  response.handleChunk(Buffer.from('id: 1\nda'), NOW_MS);
  t.false(response.hasBegun);
  t.is(reply.headCount, 0);
  response.handleChunk(Buffer.from('ta: a\n\nid: 2'), NOW_MS);
  t.true(response.hasBegun);
  t.is(reply.body, 'id: 1\ndata: a\n\n');
});

test('a stream that is interrupted before its first event leaves room for another response', (t) => {
  const { reply, response } = openStream();
  response.handleChunk(Buffer.from('id: 1\nda'), NOW_MS);
  response.discardPending();
  t.false(response.hasBegun);
  response.handleHead(headOf(203), STREAM);
  response.handleChunk(Buffer.from('id: 1\ndata: b\n\n'), NOW_MS);
  t.deepEqual([reply.headCount, reply.status, reply.body], [1, 203, 'id: 1\ndata: b\n\n']);
});

test('a stream that ends without an event is passed on', (t) => {
  const { reply, response } = openStream();
  response.handleEnd();
  t.deepEqual([reply.status, reply.body, reply.ending], [200, '', 'whole']);
});
