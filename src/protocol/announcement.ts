/**
 * Announcement that an upstream sends to the node on its host over HTTP. It is
 * repeated every few seconds, because the platform keeps no list of upstreams.
 */
import * as z from 'zod';
import {nameSchema} from './configuration.js';
import {addressSchema} from './settings.js';

/** Announcement of one upstream worker. */
export const announcementSchema = z.strictObject({
  service: nameSchema,
  version: z.string().min(1).max(64),
  /** Address that the worker listens on. */
  address: addressSchema,
  slots: z.int().min(1).max(10_000),
  state: z.enum(['cold', 'ready', 'draining']).default('cold'),
  /** Time without an announcement after which the worker is removed. */
  ttlMs: z.int().min(100).max(600_000).default(10_000),
  /** Identifies the worker's process among those at the same address. */
  instanceId: z.string().min(1).max(128).optional(),
});

export type Announcement = z.output<typeof announcementSchema>;
