/** Counters of one router, exposed as metrics. The field names are the metric names. */
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
  /** Generations whose prefill was expected to make streams at the chosen engine late by a gap. */
  sendsHarmingStreams = 0;
  repeatedSends = 0;
  /** Streams that another engine has continued. */
  resumedStreams = 0;
  /** Sends that stayed open while another engine was tried; those that served their request. */
  stalledSends = 0;
  stalledSendsReturned = 0;
  /** Streams that callers took up and that were rejected because their build was not known. */
  unknownStreamOrigins = 0;
  /** Cancelled because the engine's weights expired before the request started. */
  withdrawnSends = 0;
  enginesUnreachable = 0;
  engineRefusals = 0;
  /** Engines that announced in a response that they drain, before the store listed it. */
  enginesLeaving = 0;
  /** Rejections in which an engine requested a backoff. */
  backoffNotices = 0;
  /** Rate limits that engines set, changed or lifted. */
  limitChanges = 0;
  /** Requests that engines rejected although they tolerate few rejections. */
  brittleEngineRejections = 0;
  /** Responses with an engine notice that could not be parsed. */
  unreadableNotices = 0;
  /** Unknown engine headers in responses; each is logged once. */
  readonly unknownEngineHeaders = new BoundedNameSet();
  unknownOutcomes = 0;
  cutAnswers = 0;
  /** Responses of engines whose end only the end of their connection showed. */
  unframedResponses = 0;
  /** Responses that ended incomplete for their callers; those whose engines had not disconnected. */
  responsesAborted = 0;
  connectedResponsesAborted = 0;
  /** Streams whose engine ended its response within an event. */
  streamsEndedWithinEvent = 0;
  staleProofRefusals = 0;
  /** Rejected because the generation was expected to end after the caller's deadline. */
  tooLateRejections = 0;
  /** Sent to check the estimate although expected to miss the deadline; those that met it. */
  tooLateSamples = 0;
  tooLateSamplesInTime = 0;
  /** Admitted by the estimate, but cancelled at the caller's deadline. */
  admittedPastDeadline = 0;
  /** Requests that entered the queue of their service, and those of them that left it for a send. */
  queuedRequests = 0;
  dequeuedRequests = 0;
  /** Time that the dequeued requests had waited, in milliseconds, and how many were late. */
  queueWaitMs = 0;
  dequeuedLate = 0;
  /**
   * Rejections by the queue: not expected to be served in time at the arrival or while waiting, no
   * place left, and displaced by a more urgent request or one of a tenant within its share.
   */
  queueTooLongRejections = 0;
  queueLateRejections = 0;
  queueFullRejections = 0;
  queueEvictions = 0;
  /** Requests that left the queue unserved for another reason: caller, deadline, stop, quarantine. */
  queueAbandoned = 0;
  /** Callers whose connection was reset because the router held too many bytes for them. */
  slowReadersDropped = 0;
  /** Requests refused because their body did not fit into the memory budget. */
  bodiesOverBudget = 0;
  /** Requests rejected before their body was read, since the configuration does not grant them. */
  rejectedByHead = 0;
  /** Engines that dropped requests of this router and then refused connections or restarted. */
  engineCrashes = 0;
  /** Engines that were found restarted under the same name. */
  enginesReborn = 0;
  /** Revisions of malformed engine entries, or of entries from another writer. */
  oddEntries = 0;
  /**
   * Requests that were quarantined, that were released, and rejected attempts of quarantined
   * requests.
   */
  quarantinedRequests = 0;
  quarantinedPromptParts = 0;
  quarantineLifted = 0;
  /** Requests that were suspected, but not quarantined, and completed. */
  suspicionsCleared = 0;
  quarantineRejections = 0;
  /** Trials of provisionally quarantined requests, and requests rejected until one has ended. */
  quarantineTrials = 0;
  trialRejections = 0;
  /** Requests that exceeded their tenant's limit. */
  quotaDenials = 0;
  /**
   * Charges for which another router was queried, and requests decided while no quota owner was
   * reachable.
   */
  quotaQuestions = 0;
  quotaIsolated = 0;
  /** Charges by tenant, for tenants with a limit. */
  readonly quotaByTenant = new TenantTotals();
  /** Times that the machine was suspended or its wall clock was set. */
  clockJumps = 0;
  /** Load commands sent to engines. */
  orders = 0;
  /** Rollout decisions: to wait, to roll out because it is profitable, or at the deadline. */
  rolloutWaits = 0;
  rolloutsForWorth = 0;
  rolloutsForDeadline = 0;
  /** Times that a tenant passed its fair share of a service while capacity was short. */
  tenantsOverShare = 0;
  /** Prefix reads sent to the group, applied from it, and ignored as of unlisted engines. */
  prefixReadsReported = 0;
  prefixReadsApplied = 0;
  prefixReadsIgnored = 0;
  /** Pauses within streams from which the speed of engines was learned. */
  enginePausesObserved = 0;
  /** Considerable changes of the believed speed of an engine. */
  engineSpeedChanges = 0;
  /** Reported speeds that were limited by the service's median or by this router's own responses. */
  engineSpeedReportsLimited = 0;
  sharedTokensRead = 0;
  sharedTokensKept = 0;
  /** Times that this router lost its path to all engines, and connections that tested the path. */
  enginePathsLost = 0;
  enginePathProbes = 0;
  /** Sends through another router, and connections opened for other routers. */
  forwardedSends = 0;
  forwardedConnections = 0;
  /** Directory responses to callers. */
  directoryAnswers = 0;
}
