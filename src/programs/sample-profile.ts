/** Converts the sample traffic of a deployment file to workload profiles. */
import type { CallerProfile } from '../lab/load/workload.js';
import type { Deployment } from '../settings/schemas.js';

/** Workload profile of one sample caller. */
export function profileOf(caller: Deployment['sample']['callers'][number]): CallerProfile {
  return {
    tenant: caller.tenant,
    key: caller.key,
    model: caller.model,
    sharedCharacters: caller.shared_characters,
    branchCharacters: caller.branch_characters,
    branches: caller.branches,
    weight: caller.weight,
    maxTokens: caller.max_tokens,
  };
}
