/** Messages from a router to the agent that started a call. */
import { create } from '@bufbuild/protobuf';
import {
  CallChunkSchema,
  CallFinishedSchema,
  CallRunningSchema,
  EnginePositionSchema,
  UsageSchema,
} from '../../protocol/peer/generated/peer_pb.js';
import type { PeerChannel } from '../../protocol/peer/peer-channel.js';
import type { FailedCall } from '../errors.js';
import { encodeFailure } from '../shared/failure-codec.js';

/** Engine and request under which a generation runs. */
export interface RunningPosition {
  readonly engineId: string;
  readonly incarnation: number;
  readonly engineRequestId: string;
  /** Sequence number of the engine's first token. */
  readonly baseSequence: number;
}

/** Token usage of the whole request. */
export interface RequestUsage {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly completionTokens: number;
}

/** Sends the messages of one call to its agent. */
export class CallOutput {
  constructor(
    private readonly channel: PeerChannel,
    private readonly callNumber: number,
    private readonly requestId: string,
  ) {}

  running(position: RunningPosition): void {
    const { engineId, engineRequestId, baseSequence } = position;
    const incarnation = BigInt(position.incarnation);
    const value = create(CallRunningSchema, {
      callNumber: this.callNumber,
      position: create(EnginePositionSchema, {
        engineId,
        incarnation,
        engineRequestId,
        baseSequence,
      }),
    });
    this.channel.send({ case: 'callRunning', value });
  }

  chunk(sequence: number, texts: string[]): void {
    const { callNumber } = this;
    const value = create(CallChunkSchema, { callNumber, sequence, texts });
    this.channel.send({ case: 'callChunk', value });
  }

  finishedGeneration(totalChunks: number, finishReason: string, usage: RequestUsage): void {
    const value = create(CallFinishedSchema, {
      callNumber: this.callNumber,
      requestId: this.requestId,
      totalChunks,
      finishReason,
      usage: create(UsageSchema, usage),
    });
    this.channel.send({ case: 'callFinished', value });
  }

  finishedOperation(status: number, outcome: Uint8Array): void {
    const { callNumber, requestId } = this;
    const value = create(CallFinishedSchema, { callNumber, requestId, status, outcome });
    this.channel.send({ case: 'callFinished', value });
  }

  failed(failed: FailedCall): void {
    const value = encodeFailure(this.callNumber, this.requestId, failed);
    this.channel.send({ case: 'callFailed', value });
  }
}
