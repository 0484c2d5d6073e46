/**
 * Schema of a deployment file such as examples/kona.toml: the workers, their
 * data centres, and the configuration that is published at the start.
 */
import {readFileSync} from 'node:fs';
import {parse as parseToml} from 'smol-toml';
import * as z from 'zod';
import type {ConfigurationInput} from '../protocol/configuration.js';
import {configurationSchema, nameSchema} from '../protocol/configuration.js';
import {readTomlFile, toCamelKeys} from '../protocol/settings.js';

/** Calls of one kind that a load run sends to a service. */
const callsSchema = z.strictObject({
  kind: z.enum(['lookup', 'booking', 'upload']),
  path: z.string().startsWith('/'),
  callers: z.int().min(1).max(1000).default(1),
  /** Rate of all callers together. */
  ratePerSecond: z.number().positive().max(100_000),
  uploadBytes: z.int().min(1).optional(),
});

const serviceSchema = z.strictObject({
  workers: z.int().min(1).max(1000),
  slots: z.int().min(1).max(1000).default(6),
  version: z.string().min(1).default('v1'),
  /** Mean service time of the upstream stand-in in milliseconds. */
  serviceTimeMs: z.number().min(0).max(60_000).default(4),
  calls: z.array(callsSchema).default([]),
});

/** A deployment that runs on one machine, for trials and measurements. */
export const deploymentSchema = z
  .strictObject({
    deployment: z.strictObject({
      name: nameSchema,
      dataCentres: z.array(nameSchema).min(1),
      services: z.record(nameSchema, serviceSchema),
    }),
    configuration: configurationSchema,
  })
  .superRefine(({deployment, configuration}, context) => {
    for (const name of Object.keys(deployment.services)) {
      if (name in configuration.services) continue;
      context.addIssue({
        code: 'custom',
        path: ['deployment', 'services', name],
        message: 'service has no profile; add it to configuration.services',
      });
    }
  });

export type DeploymentFile = z.output<typeof deploymentSchema>;

/**
 * A deployment file whose configuration is as written, such as durations with
 * their units.
 */
export interface DeploymentInput {
  readonly deployment: DeploymentFile['deployment'];
  readonly configuration: ConfigurationInput;
}

/**
 * Reads a deployment file.
 *
 * @throws SettingsError naming the file, the key and the allowed values.
 */
export function readDeploymentFile(file: string): DeploymentInput {
  const {deployment} = readTomlFile(file, deploymentSchema);
  const raw = toCamelKeys(parseToml(readFileSync(file, 'utf8')));
  const {configuration} = raw as {configuration: ConfigurationInput};
  return {deployment, configuration};
}
