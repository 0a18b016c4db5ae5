/**
 * The operators' configuration: models, services, routing templates and tenants.
 * Schema of the YAML files (docs/OPERATORS.md, "Templates") and of the stored object.
 */
import { z } from 'zod';

const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]*$/;
const SHA256_PATTERN = /^[0-9a-f]{64}$/;

const name = z.string().regex(NAME_PATTERN, 'expected lower-case letters, digits, ".", "_" or "-"');
const share = z.number().min(0).max(1);

/** One version of a model's weights. */
const modelVersionSchema = z.strictObject({
  /** Digest of the weights; cached prefixes are valid only for it. */
  weights_digest: z.string().min(1),
  /** Digest of the adapter; empty if there is none. */
  adapter_digest: z.string().default(''),
});

/** A model and its versions. */
const modelSchema = z.strictObject({
  versions: z.record(name, modelVersionSchema),
});

/** One operation of a plain service. */
const operationSchema = z.strictObject({
  /** Whether the operation may run more than once, so that it may be retried and hedged. */
  repeatable: z.boolean(),
  /** Whether to send a second attempt if the first is slow. Only for repeatable operations. */
  hedged: z.boolean().default(false),
});

/** A service of plain back ends. */
const serviceSchema = z.strictObject({
  operations: z.record(name, operationSchema),
});

/** Parameters that a template sets and a tenant may override. */
const parametersSchema = z.strictObject({
  /** Models that the tenant may use, each with its current version. */
  models: z.record(name, name),
  /** Services that the tenant may call. */
  services: z.array(name),
  /** Maximum cached prefix tokens of the tenant over all engines. */
  prefix_budget_tokens: z.number().int().min(0),
  /** Share of the tenant's requests for each site; the sum is 1. */
  site_shares: z.record(name, share),
  /** Engines run requests of higher priority first. */
  priority: z.number().int().min(-10).max(10),
  /** From 0 (minimizes the wait for the first token) to 1 (minimizes recomputation). */
  recompute_weight: share,
  /** Maximum concurrent requests of the tenant at one router. */
  maximum_concurrent: z.number().int().min(1),
  /** Maximum retries as a share of requests. */
  retry_share: share,
});

/** A named set of parameters. */
const templateSchema = parametersSchema;

/** A caller's key, stored only as a hash. */
const keySchema = z.strictObject({
  sha256: z.string().regex(SHA256_PATTERN, 'expected 64 hexadecimal digits'),
});

const MAXIMUM_KEYS = 2;

/** A tenant: its template, keys (two during a key rotation) and overrides. */
const tenantSchema = z.strictObject({
  template: name,
  keys: z.array(keySchema).min(1).max(MAXIMUM_KEYS),
  parameters: parametersSchema.partial().default({}),
});

/** The whole configuration. */
export const templateSetSchema = z.strictObject({
  models: z.record(name, modelSchema),
  services: z.record(name, serviceSchema).default({}),
  templates: z.record(name, templateSchema),
  tenants: z.record(name, tenantSchema),
});

export type TemplateSet = z.infer<typeof templateSetSchema>;
export type TenantParameters = z.infer<typeof parametersSchema>;
export type ModelVersion = z.infer<typeof modelVersionSchema>;
export type OperationPolicy = z.infer<typeof operationSchema>;

/** An error in a configuration: its path and a message. */
export interface TemplateProblem {
  /** Path in the document, separated by dots. */
  readonly path: string;
  readonly message: string;
}

/** A valid configuration, or all errors of an invalid one. */
export type TemplateVerdict =
  | { readonly kind: 'valid'; readonly set: TemplateSet }
  | { readonly kind: 'invalid'; readonly problems: readonly TemplateProblem[] };

const SHARE_TOLERANCE = 0.001;

/** Validates the schema and the references of a configuration. */
export function checkTemplateSet(value: unknown): TemplateVerdict {
  const parsed = templateSetSchema.safeParse(value);
  if (!parsed.success) {
    const problems = parsed.error.issues.map((issue) => ({
      path: issue.path.join('.'),
      message: issue.message,
    }));
    return { kind: 'invalid', problems };
  }
  const problems = checkReferences(parsed.data);
  if (problems.length > 0) return { kind: 'invalid', problems };
  return { kind: 'valid', set: parsed.data };
}

function checkReferences(set: TemplateSet): TemplateProblem[] {
  const problems: TemplateProblem[] = [];
  for (const [templateName, template] of Object.entries(set.templates)) {
    problems.push(...checkParameters(set, `templates.${templateName}`, template));
  }
  for (const [tenantName, tenant] of Object.entries(set.tenants)) {
    const path = `tenants.${tenantName}`;
    if (!set.templates[tenant.template]) {
      problems.push({
        path: `${path}.template`,
        message: `no template named "${tenant.template}"`,
      });
    }
    problems.push(...checkParameters(set, `${path}.parameters`, tenant.parameters));
  }
  problems.push(...checkSharedKeys(set));
  return problems;
}

type PartialParameters = TemplateSet['tenants'][string]['parameters'];

function checkParameters(
  set: TemplateSet,
  path: string,
  parameters: PartialParameters,
): TemplateProblem[] {
  const problems: TemplateProblem[] = [];
  for (const [modelName, version] of Object.entries(parameters.models ?? {})) {
    if (set.models[modelName]?.versions[version]) continue;
    problems.push({
      path: `${path}.models.${modelName}`,
      message: `no version "${version}" of model "${modelName}"`,
    });
  }
  for (const service of parameters.services ?? []) {
    if (set.services[service]) continue;
    problems.push({ path: `${path}.services`, message: `no service named "${service}"` });
  }
  const shares = Object.values(parameters.site_shares ?? { all: 1 });
  const sum = shares.reduce((total, value) => total + value, 0);
  if (Math.abs(sum - 1) > SHARE_TOLERANCE) {
    problems.push({ path: `${path}.site_shares`, message: `shares sum to ${sum}, expected 1` });
  }
  return problems;
}

function checkSharedKeys(set: TemplateSet): TemplateProblem[] {
  const problems: TemplateProblem[] = [];
  const tenantsByKey = new Map<string, string>();
  for (const [tenantName, tenant] of Object.entries(set.tenants)) {
    for (const key of tenant.keys) {
      const otherTenant = tenantsByKey.get(key.sha256);
      if (otherTenant !== undefined && otherTenant !== tenantName) {
        problems.push({
          path: `tenants.${tenantName}.keys`,
          message: `key belongs to tenant "${otherTenant}" too`,
        });
      }
      tenantsByKey.set(key.sha256, tenantName);
    }
  }
  return problems;
}

/** Effective parameters of a tenant: those of its template with the tenant's overrides. */
export function resolveParameters(set: TemplateSet, tenant: string): TenantParameters | undefined {
  const entry = set.tenants[tenant];
  const template = entry && set.templates[entry.template];
  if (!template) return undefined;
  const overrides = Object.entries(entry.parameters).filter(([, value]) => value !== undefined);
  return { ...template, ...Object.fromEntries(overrides) };
}
