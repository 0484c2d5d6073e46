/**
 * Builds a ServiceRequest from an HTTP message. A small body is buffered
 * completely, so that it can be resent; of a large one only the start is.
 */
import {createHash, randomUUID} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import type {Transform} from 'node:stream';
import type {Profile, RouteRule} from '../protocol/configuration.js';
import {
  CALLER_ID,
  IDEMPOTENCY_KEY,
  REQUEST_ID,
  TIME_LIMIT,
} from '../protocol/headers.js';
import {Reason, RefusalError} from '../protocol/reasons.js';
import type {RouteMatch} from '../protocol/routes.js';
import {findRoute} from '../protocol/routes.js';
import type {
  Body,
  Headers,
  ServiceRequest,
} from '../protocol/service-request.js';
import {
  EMPTY_BODY,
  HELD_BODY_BYTES,
  readHeldBody,
} from '../protocol/service-request.js';
import {watchHeldBody} from './limits/counted-message.js';
import {createReadAhead} from './limits/read-ahead.js';
import {copyEndToEndHeaders, findHeader} from './message-headers.js';
import {BodyPauseTimer} from './body-pause-timer.js';

/**
 * Bytes of a body that are read while nothing takes them. A connection shows
 * that its caller has left only once all before has been read.
 */
const READ_AHEAD_BYTES = 512 * 1024;

const KEY_PATTERN = /^[\x21-\x7e]{1,255}$/;
const REQUEST_ID_PATTERN = /^[\x21-\x7e]{1,128}$/;
const CALLER_PATTERN = /^[\x20-\x7e]{1,128}$/;

/** Service and path that a request is addressed to. */
export interface ServiceTarget {
  readonly service: string;
  readonly path: string;
}

/** A target and the host and path route that selected it, if any. */
export interface RoutedTarget extends ServiceTarget {
  readonly rule?: RouteRule;
}

/** Splits a request target into service (the first segment) and path. */
export function parseTarget(url: string): ServiceTarget {
  const end = url.search(/[/?]/) === 0 ? findSegmentEnd(url) : 0;
  const service = url.slice(1, end);
  const rest = url.slice(end);
  return {service, path: rest.startsWith('/') ? rest : `/${rest}`};
}

function findSegmentEnd(url: string): number {
  const next = url.slice(1).search(/[/?]/);
  return next < 0 ? url.length : next + 1;
}

/** Reads the request id that a caller sent, or creates one. */
export function readRequestId(message: IncomingMessage): string {
  const sent = message.headers[REQUEST_ID];
  return typeof sent === 'string' && REQUEST_ID_PATTERN.test(sent)
    ? sent
    : randomUUID();
}

/**
 * Reads a caller's request to a service.
 *
 * @throws RefusalError with verdict `not-run` when it is malformed.
 */
export async function readServiceRequest(
  message: IncomingMessage,
  id: string,
  target: RoutedTarget,
  profile: Profile,
): Promise<ServiceRequest> {
  const method = message.method ?? 'GET';
  const route = findRequestRoute(target, profile, method);
  const headers = copyEndToEndHeaders(message.headers);
  headers[REQUEST_ID] = id;
  const hasTimeLimit = findHeader(headers, TIME_LIMIT) !== undefined;
  const timeLimitMs = readTimeLimit(headers, route.timeLimitMs, profile);
  const key = readKey(headers);
  const now = performance.now();
  const deadline = now + timeLimitMs;
  const body = await readBody(message, profile);
  return {
    id,
    service: target.service,
    method,
    path: target.path,
    headers,
    caller: readCaller(message, headers),
    deadline,
    ...(hasTimeLimit ? {awaitedUntil: deadline} : {}),
    route: route.name,
    idempotent: route.idempotent,
    ...buildRoutePolicy(target.rule, now),
    ...(key !== undefined && !route.idempotent ? {key} : {}),
    fingerprint: computeFingerprint(target, method, headers, body),
    body,
  };
}

function findRequestRoute(
  target: RoutedTarget,
  profile: Profile,
  method: string,
): RouteMatch {
  if (!target.rule) return findRoute(profile, method, target.path);
  const {name, idempotent, timeLimit} = target.rule;
  return {name, idempotent, timeLimitMs: timeLimit};
}

/** Returns the priority, attempt limit and latency target that a route sets. */
export function buildRoutePolicy(
  rule: RouteRule | undefined,
  now: number,
): Pick<ServiceRequest, 'rank' | 'maxAttempts' | 'targetAt'> {
  if (!rule) return {rank: 0};
  const {rank, maxAttempts, targetLatency} = rule;
  return {
    rank,
    ...(maxAttempts === undefined ? {} : {maxAttempts}),
    ...(targetLatency === undefined ? {} : {targetAt: now + targetLatency}),
  };
}

function readTimeLimit(
  headers: Headers,
  defaultMs: number,
  profile: Profile,
): number {
  const text = findHeader(headers, TIME_LIMIT);
  if (text === undefined) return defaultMs;
  const limitMs = Number(text);
  if (!/^\d{1,10}$/.test(text) || limitMs === 0) {
    throw new RefusalError(
      Reason.MALFORMED_REQUEST,
      'not-run',
      `${TIME_LIMIT} must be a whole number of milliseconds above 0`,
    );
  }
  return Math.min(limitMs, profile.maxTimeLimit);
}

function readKey(headers: Headers): string | undefined {
  const key = findHeader(headers, IDEMPOTENCY_KEY);
  if (key === undefined || KEY_PATTERN.test(key)) return key;
  throw new RefusalError(
    Reason.MALFORMED_KEY,
    'not-run',
    `${IDEMPOTENCY_KEY} must be 1 to 255 visible ASCII characters`,
  );
}

function readCaller(message: IncomingMessage, headers: Headers): string {
  const callerId = findHeader(headers, CALLER_ID);
  if (callerId !== undefined && CALLER_PATTERN.test(callerId)) return callerId;
  return message.socket.remoteAddress ?? 'unknown';
}

/**
 * Reads a body. Buffers a short one completely and only the start of a long
 * one.
 *
 * @throws RefusalError with verdict `not-run`.
 */
export async function readBody(
  message: IncomingMessage,
  profile: Profile,
): Promise<Body> {
  const {maxBody, bodyPause} = profile.limits;
  const length = message.headers['content-length'];
  const isChunked = message.headers['transfer-encoding'] !== undefined;
  if (!isChunked && (length === undefined || length === '0')) return EMPTY_BODY;
  if (length !== undefined && Number(length) > maxBody)
    throw buildTooLargeRefusal();
  const pauseTimer = new BodyPauseTimer(message, bodyPause);
  const body = await readHeldPart(message, pauseTimer);
  if (body.rest)
    return {held: body.held, rest: createRestStream(body, pauseTimer, maxBody)};
  pauseTimer.stop();
  if (body.held.length > maxBody) throw buildTooLargeRefusal();
  return body;
}

async function readHeldPart(
  message: IncomingMessage,
  pauseTimer: BodyPauseTimer,
): Promise<Body> {
  try {
    return await Promise.race([readHeldBody(message), pauseTimer.failed]);
  } catch (error) {
    pauseTimer.stop();
    if (error instanceof RefusalError) throw error;
    throw new RefusalError(Reason.CALLER_GONE);
  }
}

function createRestStream(
  body: Body,
  pauseTimer: BodyPauseTimer,
  maxBytes: number,
): Transform {
  const rest = applySizeLimit(body, maxBytes);
  watchHeldBody(body.rest, body.held.length, rest);
  pauseTimer.failed.catch((error: Error) => rest.destroy(error));
  rest.once('close', () => pauseTimer.stop());
  return rest;
}

function buildTooLargeRefusal(): RefusalError {
  return new RefusalError(Reason.BODY_TOO_LARGE);
}

/** Pipes the rest of a body through a stream that fails above the limit. */
function applySizeLimit(body: Body, maxBytes: number): Transform {
  let size = body.held.length;
  const limited = createReadAhead(READ_AHEAD_BYTES, chunkSize => {
    size += chunkSize;
    return size > maxBytes ? buildTooLargeRefusal() : undefined;
  });
  const rest = body.rest!;
  rest.on('error', error => limited.destroy(error));
  rest.on('close', () => {
    if (!rest.readableEnded) limited.destroy(new Error('caller disconnected'));
  });
  // An error without a listener would crash the process; the body may fail
  // when nothing reads it any more.
  limited.on('error', () => rest.unpipe(limited));
  return rest.pipe(limited);
}

/**
 * Computes a digest that is equal for a request and its resends. How much of a
 * body is buffered depends on the pieces in which it arrives.
 */
export function computeFingerprint(
  target: ServiceTarget,
  method: string,
  headers: Headers,
  body: Body,
): string {
  const hash = createHash('sha1');
  const length = findHeader(headers, 'content-length') ?? '';
  hash.update(`${target.service}\n${method}\n${target.path}\n${length}\n`);
  hash.update(body.held.subarray(0, HELD_BODY_BYTES));
  return hash.digest('base64url');
}
