/** Schemas of the settings files of all programs (docs/OPERATORS.md, "Settings"). */
import { z } from 'zod';

const ADDRESS_PATTERN = /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/;

/** `HOST:PORT` with an IP address as host. */
export const addressSchema = z
  .string()
  .regex(ADDRESS_PATTERN, 'expected an IP number and a port, as in 127.0.0.1:7100');

const name = z.string().min(1);
export const logLevelSchema = z.enum(['debug', 'info', 'warn', 'error', 'silent']);

const nodeSchema = z.strictObject({ id: name, zone: name, region: name.default('default') });

const MINIMUM_KEY_LENGTH = 16;

/** Settings of `peatspan router`. */
export const routerSettingsSchema = z.strictObject({
  node: nodeSchema,
  listen: z.strictObject({
    /** TCP, for agents and other routers. */
    peer: addressSchema,
    /** UDP, for membership. */
    gossip: addressSchema,
    /** HTTP, for metrics and health. */
    operations: addressSchema,
  }),
  /** Gossip addresses of some routers. */
  seeds: z.array(addressSchema).default([]),
  platform: z.strictObject({ object_api: addressSchema, machine_list: addressSchema }),
  cluster_key: z.string().min(MINIMUM_KEY_LENGTH, 'expected at least 16 characters'),
  log_level: logLevelSchema.default('info'),
});

/** Settings of `peatspan agent`. */
export const agentSettingsSchema = z.strictObject({
  node: nodeSchema,
  listen: z.strictObject({ callers: addressSchema, operations: addressSchema }),
  /** Peer addresses of some routers. */
  routers: z.array(addressSchema).min(1),
  default_deadline_ms: z.number().int().min(1).default(60_000),
  log_level: logLevelSchema.default('info'),
});

/** Speed and faults of a simulated engine; all optional. */
export const engineModelSchema = z.strictObject({
  prefill_tokens_per_second: z.number().positive().optional(),
  prefill_chunk_tokens: z.number().int().positive().optional(),
  decode_step_ms: z.number().min(0).optional(),
  maximum_running: z.number().int().positive().optional(),
  maximum_waiting: z.number().int().min(0).optional(),
  cache_blocks: z.number().int().positive().optional(),
  load_lag_ms: z.number().min(0).optional(),
  event_delay_ms: z.number().min(0).optional(),
  event_loss_chance: z.number().min(0).max(1).optional(),
  stream_retention_ms: z.number().min(0).optional(),
});

/** Settings of `peatspan lab engine`. */
export const engineSettingsSchema = z.strictObject({
  engine: z.strictObject({
    id: name,
    model: name,
    weights_digest: name,
    adapter_digest: z.string().default(''),
  }),
  listen: z.strictObject({ http: addressSchema }),
  behaviour: engineModelSchema.default({}),
  log_level: logLevelSchema.default('info'),
});

/** Settings of `peatspan lab backend`. */
export const backendSettingsSchema = z.strictObject({
  backend: z.strictObject({ id: name }),
  listen: z.strictObject({ http: addressSchema }),
  work_ms: z.number().min(0).default(5),
  maximum_running: z.number().int().positive().default(64),
  log_level: logLevelSchema.default('info'),
});

/** Settings of `peatspan lab platform`. */
export const platformSettingsSchema = z.strictObject({
  listen: z.strictObject({ http: addressSchema }),
  machine_list_lag_ms: z.number().min(0).default(1_000),
  /** Templates file that becomes the first version of the configuration. */
  templates: z.string().optional(),
  /** Deployment file whose machines are added to the machine list. */
  deployment: z.string().optional(),
  log_level: logLevelSchema.default('info'),
});

/** A deployment of simulated engines, routers and agents, for `peatspan lab up` and experiments. */
export const deploymentSchema = z.strictObject({
  name,
  region: name,
  /** Zones and their sites. */
  zones: z.record(name, z.strictObject({ site: name })),
  routers: z.array(z.strictObject({ id: name, zone: name, port: z.number().int() })).min(1),
  agents: z.array(z.strictObject({ id: name, zone: name, port: z.number().int() })).min(1),
  platform: z.strictObject({ port: z.number().int() }),
  engines: z.array(
    z.strictObject({
      id: name,
      zone: name,
      port: z.number().int(),
      model: name,
      version: name,
      behaviour: engineModelSchema.default({}),
    }),
  ),
  backends: z
    .array(
      z.strictObject({
        id: name,
        zone: name,
        port: z.number().int(),
        services: z.array(name).min(1),
        work_ms: z.number().min(0).default(5),
      }),
    )
    .default([]),
  /** Sample traffic; its API keys are in plain text. */
  sample: z.strictObject({
    requests: z.number().int().positive(),
    concurrency: z.number().int().positive(),
    callers: z.array(
      z.strictObject({
        tenant: name,
        key: z.string().min(1),
        model: name,
        /** Length of the prefix that all prompts of the tenant share, in characters. */
        shared_characters: z.number().int().min(0),
        /** Length of each branch that follows the shared prefix, in characters. */
        branch_characters: z.number().int().min(0),
        branches: z.number().int().positive(),
        weight: z.number().positive(),
        max_tokens: z.number().int().positive(),
      }),
    ),
  }),
});

export type Deployment = z.infer<typeof deploymentSchema>;
export type RouterProgramSettings = z.infer<typeof routerSettingsSchema>;
export type AgentProgramSettings = z.infer<typeof agentSettingsSchema>;
export type EngineBehaviour = z.infer<typeof engineModelSchema>;
