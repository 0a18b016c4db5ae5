/**
 * Questions to other routers about where a stream began. A question ends as soon as one of them knows it,
 * or as it is certain that the stream's service has had one build only.
 *
 * That a router knows of one build only is no proof for the streams of others: it may be cut off, also
 * together with those that answer it. Two things are proofs, since a stream began before it is taken up:
 *
 * - the record of builds, read after the question was put: streams begin at builds in the record; or
 * - the statements of all routers that may still run: each knows the streams that began there.
 */
import { create } from '@bufbuild/protobuf';
import { type Clock, type Timer, sleep } from '../../runtime/clock.js';
import type { Logger } from '../../runtime/logger.js';
import { encodeStreamOriginQuestion } from '../../protocol/peer/cluster-codec.js';
import {
  type StreamOriginAnswer,
  StreamOriginQuestionSchema,
} from '../../protocol/peer/generated/cluster_pb.js';
import type { StreamOrigin } from '../../state/routing/stream-origins.js';
import type { QuotaGroup } from './quota/quota-group.js';

/** What is known about the origin of a stream that a caller takes up. */
export type OriginFinding =
  | { readonly kind: 'known'; readonly origin: StreamOrigin }
  /**
   * Nobody remembers the stream, and its service has had one build only; undefined if its engines state
   * none.
   */
  | { readonly kind: 'sole-build'; readonly build: string | undefined }
  /** Nobody remembers the stream, and its service has had several builds, or it isn't known how many. */
  | { readonly kind: 'unknown' };

/** Receives the finding, at once or some milliseconds later. */
export type OnOriginFinding = (finding: OriginFinding) => void;

/** What the router itself knows of builds. */
export interface BuildKnowledge {
  /** Whether the service has had several builds. */
  isMixed(service: string): boolean;
  /**
   * The finding for a stream that nobody remembers.
   *
   * @param isStated whether other routers know that the service has had one build only
   */
  findingWithout(service: string, isStated: boolean): OriginFinding;
  /** Reads the record of builds; resolves to whether it was read. */
  confirm(): Promise<boolean>;
}

/** Dependencies of {@link StreamOriginQuestions}. */
export interface OriginQuestionParts {
  readonly group: Pick<QuotaGroup, 'ownAddress' | 'otherRouterAddresses' | 'send'>;
  readonly knowledge: BuildKnowledge;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Time after which a question is repeated: a datagram may be lost, or overtake the notice. */
const REPEAT_MS = 25;
/** Time after which a question counts as not answered. */
const ANSWER_TIMEOUT_MS = 60;
/** Time that a caller waits for a read of the record; another router may know more by then. */
export const RECORD_TIMEOUT_MS = 150;

/** Routers that are asked for one stream at most; datagrams are limited in a large group. */
const MAXIMUM_ASKED = 64;

/** By what a finding was made; for logs. */
enum FindingProof {
  /** A router knows where the stream began. */
  Origin = 'origin',
  /** The record of builds. */
  Record = 'record',
  /** The statements of all other routers. */
  Statements = 'statements',
  None = 'none',
}

/** A question that has not ended. */
interface PendingQuestion {
  readonly attemptId: string;
  readonly service: string;
  readonly listeners: OnOriginFinding[];
  readonly askedMs: number;
  readonly asked: Set<string>;
  /** Routers asked that have not answered. */
  readonly unanswered: Set<string>;
  /** Routers that have seen one build of the service only. */
  readonly statedBy: Set<string>;
  /** Whether one of them knows that, since it has run for long enough or knows the record. */
  isKnownSole: boolean;
  /** Reads of the record for this question, and whether one is in progress. */
  reads: number;
  isReading: boolean;
  /** Whether the record was read after the question was put. */
  isRecordRead: boolean;
  /** Rounds of datagrams whose answers are still awaited. */
  openRounds: number;
  readonly timers: Timer[];
}

/** The questions of one router. */
export class StreamOriginQuestions {
  /** By attempt that brought the first event. */
  private readonly pending = new Map<string, PendingQuestion>();

  constructor(private readonly parts: OriginQuestionParts) {}

  /** Asks the holders of a stream's origin first. */
  ask(
    attemptId: string,
    service: string,
    holders: readonly string[],
    onFound: OnOriginFinding,
  ): void {
    const present = this.pending.get(attemptId);
    if (present) {
      present.listeners.push(onFound);
      return;
    }
    const question: PendingQuestion = {
      attemptId,
      service,
      listeners: [onFound],
      askedMs: this.parts.clock.now(),
      asked: new Set(),
      unanswered: new Set(),
      statedBy: new Set(),
      isKnownSole: false,
      reads: 0,
      isReading: false,
      isRecordRead: false,
      openRounds: 0,
      timers: [],
    };
    this.pending.set(attemptId, question);
    this.beginRound(question, holders);
    this.settle(question);
  }

  receive({
    attemptId,
    responder,
    isKnown,
    service,
    build,
    isSoleBuild,
    seesOneBuild,
  }: StreamOriginAnswer): void {
    const question = this.pending.get(attemptId);
    if (!question) return;
    if (isKnown) {
      const origin = { service, build: build === '' ? undefined : build };
      this.end(question, { kind: 'known', origin }, FindingProof.Origin);
      return;
    }
    question.unanswered.delete(responder);
    if ((isSoleBuild || seesOneBuild) && this.isOwnBuild(question.service, build)) {
      question.statedBy.add(responder);
      question.isKnownSole ||= isSoleBuild;
    }
    this.settle(question);
  }

  /** Whether the only build that another router sees is the one that this router sees. */
  private isOwnBuild(service: string, build: string): boolean {
    const own = this.parts.knowledge.findingWithout(service, true);
    // Routers of earlier builds don't state it.
    return build === '' || (own.kind === 'sole-build' && own.build === build);
  }

  stop(): void {
    for (const question of this.pending.values()) cancelTimers(question);
    this.pending.clear();
  }

  private send(question: PendingQuestion, addresses: readonly string[]): void {
    const { group } = this.parts;
    const { attemptId, service, asked, unanswered } = question;
    const contents = { attemptId, replyTo: group.ownAddress, service };
    const datagram = encodeStreamOriginQuestion(create(StreamOriginQuestionSchema, contents));
    for (const address of addresses) {
      if (!asked.has(address)) unanswered.add(address);
      asked.add(address);
      group.send(address, datagram);
    }
  }

  /** Asks routers, repeats the question if they are silent, and ends the wait for them. */
  private beginRound(question: PendingQuestion, addresses: readonly string[]): void {
    const { clock } = this.parts;
    this.send(question, addresses);
    question.openRounds += 1;
    question.timers.push(
      clock.setTimer(REPEAT_MS, () => {
        this.send(question, addresses);
        this.readRecord(question);
      }),
      clock.setTimer(ANSWER_TIMEOUT_MS, () => clock.afterReading(() => this.endRound(question))),
    );
  }

  /** Ends the wait for the answers to one round, after those that have arrived were read. */
  private endRound(question: PendingQuestion): void {
    question.openRounds -= 1;
    this.settle(question);
  }

  /** Ends the question if its finding is certain, or nothing more can make it so. */
  private settle(question: PendingQuestion): void {
    if (this.pending.get(question.attemptId) !== question) return;
    const { service, unanswered, isReading, isRecordRead, openRounds } = question;
    const { knowledge } = this.parts;
    const isTimeOver = openRounds === 0;
    if (knowledge.isMixed(service)) {
      // The notice may still be on its way.
      if (isTimeOver) this.end(question, { kind: 'unknown' }, FindingProof.None);
    } else if (isRecordRead) this.endWithout(question, FindingProof.Record);
    else if (this.isStatedByAll(question)) this.endWithout(question, FindingProof.Statements);
    else if (unanswered.size === 0 && question.reads === 0) this.readRecord(question);
    else if (isTimeOver && !isReading) this.end(question, { kind: 'unknown' }, FindingProof.None);
  }

  /**
   * Whether no other router that may still run has seen a second build, so that none has begun a stream
   * there. A router that has just started counts too: its predecessor has ended, and had notified holders.
   */
  private isStatedByAll({ statedBy, isKnownSole, service }: PendingQuestion): boolean {
    const { group, knowledge } = this.parts;
    if (!group.otherRouterAddresses.every((address) => statedBy.has(address))) return false;
    return knowledge.findingWithout(service, isKnownSole).kind === 'sole-build';
  }

  /** Reads the record; if it can't be read, the routers that have not been asked are asked. */
  private readRecord(question: PendingQuestion): void {
    if (question.isReading || question.isRecordRead) return;
    if (this.pending.get(question.attemptId) !== question) return;
    // With several builds, the record does not show where one stream began.
    if (this.parts.knowledge.isMixed(question.service)) return;
    question.isReading = true;
    question.reads += 1;
    const timeout = sleep(this.parts.clock, RECORD_TIMEOUT_MS).then(() => false);
    void Promise.race([this.parts.knowledge.confirm(), timeout]).then((isRead) => {
      question.isReading = false;
      question.isRecordRead = isRead;
      if (!isRead) this.askAll(question);
      this.settle(question);
    });
  }

  private askAll(question: PendingQuestion): void {
    const { asked } = question;
    const others = this.parts.group.otherRouterAddresses.filter((address) => !asked.has(address));
    if (this.pending.get(question.attemptId) !== question || others.length === 0) return;
    if (asked.size + others.length > MAXIMUM_ASKED) return;
    this.beginRound(question, others);
  }

  private endWithout(question: PendingQuestion, proof: FindingProof): void {
    const { service, isKnownSole } = question;
    const found = this.parts.knowledge.findingWithout(service, isKnownSole);
    this.end(question, found, proof);
  }

  private end(question: PendingQuestion, found: OriginFinding, proof: FindingProof): void {
    const { attemptId, service, asked, unanswered, askedMs, listeners } = question;
    const { clock, knowledge, logger } = this.parts;
    this.pending.delete(attemptId);
    cancelTimers(question);
    logger.info('stream_origin_asked', {
      resumes: attemptId,
      service,
      finding: found.kind,
      proof,
      mixed: knowledge.isMixed(service),
      asked: asked.size,
      silent: unanswered.size,
      waited_ms: Math.round(clock.now() - askedMs),
    });
    for (const onFound of listeners) onFound(found);
  }
}

function cancelTimers({ timers }: PendingQuestion): void {
  for (const timer of timers) timer.cancel();
}
