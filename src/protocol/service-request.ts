/**
 * Requests and answers as the parts of a node pass them to each other. Only a
 * small body is buffered whole; a large one consists of a buffered start and a
 * stream of the rest, so that memory per request is bounded.
 */
import type {Readable} from 'node:stream';
import {isRestTaken} from './body-rest.js';
import {ChunkList} from './chunk-list.js';

/** Number of bytes of a body that are buffered, so that they can be resent. */
export const HELD_BODY_BYTES = 64 * 1024;

/** Header names in lower case with one or several values. */
export type Headers = Record<string, string | string[]>;

/** A body: its buffered start and, if it is longer, a stream of the rest. */
export interface Body {
  readonly held: Buffer;
  /** Rest of the body after its buffered start; it can be read only once. */
  readonly rest?: Readable;
}

export const EMPTY_BODY: Body = {held: Buffer.alloc(0)};

/** A caller's request to a service. */
export interface ServiceRequest {
  /** Request id for logs and explanations. */
  readonly id: string;
  readonly service: string;
  readonly method: string;
  /** Path and query below the service segment, beginning with `/`. */
  readonly path: string;
  /** End-to-end headers, without those specific to this system. */
  readonly headers: Headers;
  readonly caller: string;
  /** Time on the clock of `performance.now()` by which an answer is due. */
  readonly deadline: number;
  /** Name of the profile's route, `default` if none matched. */
  readonly route: string;
  /** Whether the request may run more than once. */
  readonly idempotent: boolean;
  /** Priority among requests of its service; 0 is the highest. */
  readonly rank: number;
  /** Maximum number of workers to try; the profile decides if absent. */
  readonly maxAttempts?: number;
  /** Time on the clock of `performance.now()` when an answer becomes late. */
  readonly targetAt?: number;
  /**
   * Time on the clock of `performance.now()` until which the caller waits;
   * absent if the caller did not specify it.
   */
  readonly awaitedUntil?: number;
  /** Whether a request that occupies another worker sent this request. */
  readonly isNested?: boolean;
  /** Whether its caller has several unanswered requests on one connection. */
  readonly isBulk?: boolean;
  /** Value of `Idempotency-Key`, for a request that is not idempotent. */
  readonly key?: string;
  /** Digest of service, method, path and the buffered start of the body. */
  readonly fingerprint: string;
  readonly body: Body;
}

/** A complete or streamed answer; a stream that ends early is destroyed. */
export interface ServiceAnswer {
  readonly status: number;
  readonly headers: Headers;
  readonly body: Body;
  /** Signature of the answer by the upstream, if it signs answers. */
  readonly signature?: string;
}

/**
 * Returns whether the request can be resent: nothing has read its stream yet.
 * An attempt that is still open may take the stream at any time after this.
 */
export function isResendable(request: ServiceRequest): boolean {
  const {rest} = request.body;
  if (rest === undefined) return true;
  return !isRestTaken(rest) && !rest.readableDidRead;
}

/**
 * Reads a stream up to the limit; a longer stream is returned as the rest of
 * the body.
 *
 * @throws the stream's error when it fails before the limit is reached.
 */
export function readHeldBody(
  stream: Readable,
  limitBytes = HELD_BODY_BYTES,
): Promise<Body> {
  return new Promise((resolve, reject) => {
    const chunks = new ChunkList();
    const removeListeners = (): void => {
      stream.off('data', handleData);
      stream.off('end', handleEnd);
      stream.off('error', reject);
      stream.off('close', handleClose);
    };
    const handleData = (chunk: Buffer): void => {
      chunks.add(chunk);
      if (chunks.size < limitBytes) return;
      stream.pause();
      removeListeners();
      resolve({held: chunks.take(), rest: stream});
    };
    const handleEnd = (): void => {
      removeListeners();
      resolve({held: chunks.take()});
    };
    const handleClose = (): void => {
      reject(stream.errored ?? new Error('body stream closed before its end'));
    };
    stream.on('data', handleData);
    stream.on('end', handleEnd);
    stream.on('error', reject);
    stream.on('close', handleClose);
  });
}
