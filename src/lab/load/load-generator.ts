/** Sends sample traffic to an agent over HTTP. */
import { HttpStatus } from '../../protocol/http-status.js';
import Wreck from '@hapi/wreck';
import http from 'node:http';
import { createParser } from 'eventsource-parser';
import { BYTES_PER_TOKEN } from '../../state/prefix-chain.js';
import { Measurements, type RequestMeasurement } from './measurements.js';
import type { SampleRequest, Workload } from './workload.js';

/** Data of the last event of a completion stream. */
const DONE_MARKER = '[DONE]';

interface StreamChunk {
  readonly choices?: readonly { readonly delta?: { readonly content?: string } }[];
  readonly usage?: {
    readonly prompt_tokens: number;
    readonly completion_tokens: number;
    readonly prompt_tokens_details: { readonly cached_tokens: number };
  };
  readonly error?: { readonly type: string };
}

interface StreamState {
  firstTokenMs: number;
  text: string;
  usage: StreamChunk['usage'];
  error: string;
  done: boolean;
}

/** Sends `count` requests, `concurrency` at a time. Calls `onProgress` after each request. */
export async function generateLoad(
  agentAddress: string,
  workload: Workload,
  count: number,
  concurrency: number,
  onProgress: (finished: number) => void,
): Promise<Measurements> {
  const measurements = new Measurements();
  const agent = new http.Agent({ keepAlive: true, maxSockets: concurrency });
  let started = 0;
  let finished = 0;
  const worker = async (): Promise<void> => {
    while (started < count) {
      started += 1;
      measurements.add(await sendRequest(agentAddress, workload.next(), agent));
      finished += 1;
      onProgress(finished);
    }
  };
  await Promise.all(Array.from({ length: concurrency }, worker));
  agent.destroy();
  return measurements;
}

/** Sends one streaming chat completion request and measures the response. */
export async function sendRequest(
  agentAddress: string,
  sample: SampleRequest,
  agent: http.Agent,
): Promise<RequestMeasurement> {
  const state: StreamState = {
    firstTokenMs: 0,
    text: '',
    usage: undefined,
    error: '',
    done: false,
  };
  const startedMs = performance.now();
  try {
    await readStream(agentAddress, sample, agent, startedMs, state);
  } catch {
    state.error = 'connection_lost';
  }
  if (state.error === '' && !state.done) state.error = 'stream_cut';
  return {
    error: state.error,
    firstTokenMs: state.firstTokenMs,
    promptTokens: state.usage?.prompt_tokens ?? 0,
    cachedTokens: state.usage?.prompt_tokens_details.cached_tokens ?? 0,
    repeatedTokens: Math.floor(sample.repeatedCharacters / BYTES_PER_TOKEN),
  };
}

async function readStream(
  agentAddress: string,
  sample: SampleRequest,
  agent: http.Agent,
  startedMs: number,
  state: StreamState,
): Promise<void> {
  const { profile, prompt } = sample;
  const response = await Wreck.request('POST', `http://${agentAddress}/v1/chat/completions`, {
    agent,
    headers: { authorization: `Bearer ${profile.key}`, 'content-type': 'application/json' },
    payload: JSON.stringify({
      model: profile.model,
      messages: [{ role: 'user', content: prompt }],
      max_tokens: profile.maxTokens,
      stream: true,
      stream_options: { include_usage: true },
    }),
  });
  if (response.statusCode !== HttpStatus.Ok) {
    state.error = `status_${response.statusCode ?? 0}`;
    response.resume();
    return;
  }
  const parser = createParser({ onEvent: (event) => handleEvent(event.data, startedMs, state) });
  response.setEncoding('utf8');
  for await (const text of response) parser.feed(text as string);
}

function handleEvent(data: string, startedMs: number, state: StreamState): void {
  if (data === DONE_MARKER) {
    state.done = true;
    return;
  }
  const chunk = JSON.parse(data) as StreamChunk;
  if (chunk.error) state.error = chunk.error.type;
  if (chunk.usage) state.usage = chunk.usage;
  const text = chunk.choices?.[0]?.delta?.content;
  if (text === undefined) return;
  if (state.firstTokenMs === 0) state.firstTokenMs = performance.now() - startedMs;
  state.text += text;
}
