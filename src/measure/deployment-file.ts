/**
 * Schema of a deployment file such as examples/kona.toml: which workers stand
 * in which data centres, and the configuration that operators publish first.
 */
import {z} from 'zod';
import {configurationSchema, nameSchema} from '../protocol/configuration.js';

const serviceSchema = z.strictObject({
  workers: z.int().min(1).max(1000),
  slots: z.int().min(1).max(1000).default(6),
  version: z.string().min(1).default('v1'),
  /** Mean service time of the stand-in in milliseconds. */
  serviceTimeMs: z.number().min(0).max(60_000).default(4),
});

/** A deployment on one machine, for trials and measurements. */
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
