/** The caller API over HTTP, tested with an unmodified chat-completions client library. */
import { fileURLToPath } from 'node:url';
import anyTest, { type TestFn } from 'ava';
import OpenAI from 'openai';
import { createTokenModel, expectedText } from '../src/lab/engine/token-model.js';
import { type RunningDeployment, readDeployment, startDeployment } from '../src/programs/lab-up.js';

interface Context {
  deployment: RunningDeployment;
  address: string;
}

const test = anyTest as TestFn<Context>;
const EXAMPLE = fileURLToPath(new URL('../../examples/guild', import.meta.url));
const KEY = 'example-key-umhlanga';
const MODEL = 'flag-reviewer';
const messages = [{ role: 'user' as const, content: 'Is it ready?' }];
const PROMPT = '<|user|>\nIs it ready?\n<|assistant|>\n';

test.before(async (t) => {
  const folder = readDeployment(EXAMPLE);
  const options = { logLevel: 'silent' as const, agentPort: undefined, anyPorts: true };
  t.context.deployment = await startDeployment(folder, options);
  t.context.address = t.context.deployment.agents[0]?.callerApi.address ?? '';
});

test.after.always(async (t) => {
  await t.context.deployment.stop();
});

function clientAt(address: string, apiKey = KEY): OpenAI {
  return new OpenAI({ apiKey, baseURL: `http://${address}/v1`, maxRetries: 0 });
}

interface ErrorBody {
  readonly error: { readonly type: string; readonly not_run: boolean };
}

async function post(
  address: string,
  path: string,
  body: string,
  headers: Record<string, string> = {},
): Promise<{ status: number; body: ErrorBody; response: Response }> {
  const response = await fetch(`http://${address}${path}`, {
    method: 'POST',
    headers: { authorization: `Bearer ${KEY}`, 'content-type': 'application/json', ...headers },
    body,
  });
  return { status: response.status, body: (await response.json()) as ErrorBody, response };
}

test.serial(
  'a client library receives complete and streamed responses and the list of models',
  async (t) => {
    const client = clientAt(t.context.address);
    const expected = expectedText(await createTokenModel(), PROMPT, 12);
    const completion = await client.chat.completions.create({
      model: MODEL,
      messages,
      max_tokens: 12,
    });
    t.is(completion.choices[0]?.message.content, expected);
    t.is(completion.usage?.completion_tokens, 12);

    const stream = await client.chat.completions.create({
      model: MODEL,
      messages,
      max_tokens: 12,
      stream: true,
    });
    let text = '';
    for await (const chunk of stream) text += chunk.choices[0]?.delta.content ?? '';
    t.is(text, expected);

    const models = await client.models.list();
    t.deepEqual(models.data.map((model) => model.id).sort(), ['flag-assistant', 'flag-reviewer']);
  },
);

test.serial('an invalid request is rejected before anything is sent to an engine', async (t) => {
  const { address, deployment } = t.context;
  const accepted = (): number =>
    deployment.engines.reduce((sum, { core }) => sum + core.totals.accepted, 0);
  const before = accepted();
  const valid = { model: MODEL, messages };
  const cases: [string, string, Record<string, string>, number][] = [
    ['/v1/chat/completions', '{"model": ', {}, 400],
    ['/v1/chat/completions', JSON.stringify({ model: MODEL }), {}, 400],
    ['/v1/chat/completions', JSON.stringify({ ...valid, model: 'none' }), {}, 404],
    ['/v1/chat/completions', JSON.stringify(valid), { authorization: 'Bearer wrong' }, 401],
    ['/v1/chat/completions', JSON.stringify(valid), { 'x-deadline-ms': 'soon' }, 400],
    ['/v1/completions', JSON.stringify({ model: MODEL, prompt: 'x'.repeat(5_000_000) }), {}, 413],
    ['/v1/services/audit/erase', '{}', {}, 404],
  ];
  for (const [path, body, headers, status] of cases) {
    const result = await post(address, path, body, headers);
    t.is(result.status, status, body.slice(0, 60));
    t.true(result.body.error.not_run);
  }
  const error = await t.throwsAsync(
    clientAt(address, 'wrong').chat.completions.create({ model: MODEL, messages }),
  );
  t.true(error instanceof OpenAI.AuthenticationError);
  t.is(accepted(), before);
});

test.serial('an idempotency key makes a write run once', async (t) => {
  const headers = { 'idempotency-key': 'release-42' };
  const first = await post(t.context.address, '/v1/services/audit/write', '{"note":1}', headers);
  const second = await post(t.context.address, '/v1/services/audit/write', '{"note":1}', headers);
  t.is(first.status, 200);
  t.deepEqual(second.body, first.body);
});

test.serial('a disconnect of the caller cancels the request at router and engine', async (t) => {
  const { address, deployment } = t.context;
  const TOKENS = 60_000;
  const controller = new AbortController();
  const response = await fetch(`http://${address}/v1/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${KEY}`, 'content-type': 'application/json' },
    body: JSON.stringify({ model: MODEL, prompt: 'long', max_tokens: TOKENS, stream: true }),
    signal: controller.signal,
  });
  t.is(response.status, 200);
  controller.abort();
  const routersIdle = (): boolean =>
    deployment.routers.every(({ node }) => node.runningCalls === 0);
  const engineRequests = (): number =>
    deployment.engines.reduce((sum, { core }) => sum + core.activeRequests, 0);
  // The router cancels the request at the engine after it has ended its own call.
  for (let tries = 0; tries < 100 && !(routersIdle() && engineRequests() === 0); tries += 1) {
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  t.true(routersIdle());
  t.is(engineRequests(), 0);
});
