/**
 * What an upstream tells the node beside it, over HTTP and again every few
 * seconds, because the platform keeps no list of upstreams.
 */
import * as z from 'zod';
import {nameSchema} from './configuration.js';
import {addressSchema} from './settings.js';

/** Announcement of one upstream worker. */
export const announcementSchema = z.strictObject({
  service: nameSchema,
  version: z.string().min(1).max(64),
  /** Where the worker serves. */
  address: addressSchema,
  slots: z.int().min(1).max(10_000),
  state: z.enum(['cold', 'ready', 'draining']).default('cold'),
  /** Time after which silence means that the worker is gone. */
  ttlMs: z.int().min(100).max(600_000).default(10_000),
  /** Names the worker's process, so that another at its address is told apart. */
  instanceId: z.string().min(1).max(128).optional(),
});

export type Announcement = z.output<typeof announcementSchema>;
