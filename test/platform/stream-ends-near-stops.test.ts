/**
 * Guards whole streams without a length that a planned stop of their router breaks off because nobody can be
 * asked whether more follows.
 */
import test from 'ava';
import { type AttemptScript, NO_RETRIES, startAttempts } from '../helpers/attempt-deployment.js';
import { eventsFrom } from '../helpers/numbered-events.js';
import { ResponseEnding, framedResponse, receive } from '../helpers/scripted-engine.js';
import { waitUntil } from '../helpers/socket-router.js';

const RESUMABLE_PATH = '/stream/stream-resumable/x';

// Guards against whole streams that a planned stop breaks off: their caller may not come back in time.
test.serial(
  'a router that leaves completes whole streams whose rest it may not ask for',
  async (t) => {
    const script: AttemptScript = (request) => {
      const { socket } = request;
      const bytes = framedResponse(request, 'connection', eventsFrom(1));
      socket.write(bytes);
      void waitUntil(() => isLeaving).then(() => socket.end());
    };
    let isLeaving = false;
    const { router, requests } = await startAttempts(t, script, NO_RETRIES);
    const received = receive(t, router.port, { id: 'a', path: RESUMABLE_PATH });
    await waitUntil(() => requests.length > 0);
    router.node.leave({ acceptUntilMs: Infinity, endMs: Infinity });
    isLeaving = true;
    const response = await received;
    t.is(response.body, eventsFrom(1));
    t.is(response.ending, ResponseEnding.StatedComplete);
  },
);
