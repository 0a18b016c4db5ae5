/** Counters of one router, shown on its metrics page. */
import { BoundedNameSet } from './bounded-name-set.js';
import { TenantTotals } from './quota/tenant-totals.js';

/** Totals since the start. */
export class GatewayStatistics {
  requests = 0;
  answered = 0;
  refused = 0;
  failed = 0;
  abandonedByCaller = 0;
  sends = 0;
  repeatedSends = 0;
  resumedStreams = 0;
  /** Given up since their requests had not begun when their engines' weights ran out of time. */
  withdrawnSends = 0;
  enginesUnreachable = 0;
  engineRefusals = 0;
  /** Engines that said in an answer that they leave before the store told so. */
  enginesLeaving = 0;
  /** Refusals in which an engine asked for a pause. */
  backoffNotices = 0;
  /** Limits on requests a second that engines named, changed or lifted. */
  limitChanges = 0;
  /** Answers in which what an engine says of itself can't be read. */
  unreadableNotices = 0;
  /** Headers of engines' answers that this build does not read; each is logged once. */
  readonly unknownEngineHeaders = new BoundedNameSet();
  unknownOutcomes = 0;
  cutAnswers = 0;
  staleProofRefusals = 0;
  /** Rejected, since the last token was expected after the caller's deadline. */
  tooLateRejections = 0;
  /** Sent all the same, to see whether the estimate holds, and how many of these ended in time. */
  tooLateSamples = 0;
  tooLateSamplesInTime = 0;
  /** Admitted by the estimate and ended by the caller's deadline. */
  admittedPastDeadline = 0;
  /** Engines that broke requests of this router and then refused connections, or started again. */
  engineCrashes = 0;
  /** Engines found started again under their name. */
  enginesReborn = 0;
  /** Revisions of engines' entries that name no engine to use: of another writer, or unreadable. */
  oddEntries = 0;
  /** Requests that entered quarantine, left it, and attempts of such requests that were turned away. */
  quarantinedRequests = 0;
  quarantineLifted = 0;
  /** Requests that were suspected, but not in quarantine, and came to a good end. */
  suspicionsCleared = 0;
  quarantineRejections = 0;
  /** Requests beyond their tenant's limit. */
  quotaDenials = 0;
  /** Charges for which another router was asked, and requests decided while none could be reached. */
  quotaQuestions = 0;
  quotaIsolated = 0;
  /** Charges by tenant, of those that have a limit. */
  readonly quotaByTenant = new TenantTotals();
  /** Times the machine was suspended or its time of day was set. */
  clockJumps = 0;
  orders = 0;
  rolloutWaits = 0;
  rolloutsForWorth = 0;
  rolloutsForDeadline = 0;
  sharedTokensRead = 0;
  sharedTokensKept = 0;
  directoryAnswers = 0;
}
