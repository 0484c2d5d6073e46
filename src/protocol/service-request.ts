/**
 * Requests and answers as the roles of a node hand them to each other. Bodies
 * are held whole only while small: a large one is a held beginning and a
 * stream of the rest, so memory per request is bounded.
 */
import type {Readable} from 'node:stream';

/** Bytes of a body that are held so that it can be sent again. */
export const HELD_BODY_BYTES = 64 * 1024;

/** Header names in lower case with one or several values. */
export type Headers = Record<string, string | string[]>;

/** A body: the held beginning and, when it is longer, the rest. */
export interface Body {
  readonly held: Buffer;
  /** Present when the body goes on after the held part; read once only. */
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
  /** End-to-end headers; the system's own are absent. */
  readonly headers: Headers;
  readonly caller: string;
  /** Time on the clock of `performance.now()` by which an answer is due. */
  readonly deadline: number;
  /** Name of the profile's route, `default` when none matched. */
  readonly route: string;
  /** Whether running twice does no harm. */
  readonly idempotent: boolean;
  /** Importance among requests of its service; 0 is the highest. */
  readonly rank: number;
  /** Workers that it may be sent to at most; the profile decides without. */
  readonly maxAttempts?: number;
  /** Time on the clock of `performance.now()` after which an answer is late. */
  readonly targetAt?: number;
  /**
   * Time on the clock of `performance.now()` until which the caller waits;
   * absent when it did not say.
   */
  readonly awaitedUntil?: number;
  /** Whether a request that holds a worker elsewhere made this one. */
  readonly isNested?: boolean;
  /** Value of `Idempotency-Key` of a request that is not idempotent. */
  readonly key?: string;
  /** Digest of service, method, path and held body. */
  readonly fingerprint: string;
  readonly body: Body;
}

/** A whole or streamed answer; a stream that ends early is destroyed. */
export interface ServiceAnswer {
  readonly status: number;
  readonly headers: Headers;
  readonly body: Body;
  /** Signature by which the upstream vouches for the answer, if it signs. */
  readonly signature?: string;
}

/** Whether the request can be sent again: nothing beyond memory was read. */
export function isResendable(request: ServiceRequest): boolean {
  const {rest} = request.body;
  return rest === undefined || !rest.readableDidRead;
}

/**
 * Reads the beginning of a stream and tells whether it goes on.
 *
 * @throws the stream's error when it breaks before the limit is reached.
 */
export function readHeldBody(
  stream: Readable,
  limitBytes = HELD_BODY_BYTES,
): Promise<Body> {
  return new Promise((resolve, reject) => {
    const parts: Buffer[] = [];
    let size = 0;
    const clear = (): void => {
      stream.off('data', handleData);
      stream.off('end', handleEnd);
      stream.off('error', reject);
      stream.off('close', handleClose);
    };
    const handleData = (part: Buffer): void => {
      parts.push(part);
      size += part.length;
      if (size < limitBytes) return;
      stream.pause();
      clear();
      resolve({held: Buffer.concat(parts), rest: stream});
    };
    const handleEnd = (): void => {
      clear();
      resolve({held: parts.length === 1 ? parts[0]! : Buffer.concat(parts)});
    };
    const handleClose = (): void => {
      reject(stream.errored ?? new Error('stream closed early'));
    };
    stream.on('data', handleData);
    stream.on('end', handleEnd);
    stream.on('error', reject);
    stream.on('close', handleClose);
  });
}
