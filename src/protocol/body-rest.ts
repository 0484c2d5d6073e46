/**
 * Sending of bodies whose rest can be read only once. Several attempts of one
 * request may be open at a time, and any of them may ask for the rest: a hedge,
 * or an attempt whose gate went silent and wakes after its retry. The first one
 * gets it for good. The body of each other one fails: a body that ended where
 * its buffered start does would look whole to a worker.
 */
import type {Readable} from 'node:stream';
import {Reason, RefusalError} from './reasons.js';
import type {Body} from './service-request.js';
import {Verdict} from './verdict.js';

/** Bytes read of the rest of each body that an attempt has taken. */
const readBytes = new WeakMap<Readable, number>();

/** How much of a body one attempt was given. */
export interface SentBody {
  readonly isWhole: boolean;
  /** Bytes that the attempt was given. */
  readonly givenBytes: number;
  /** Bytes that were there to give to any attempt by then. */
  readonly knownBytes: number;
}

/** Whether an attempt has taken the rest of a body. */
export function isRestTaken(rest: Readable): boolean {
  return readBytes.has(rest);
}

/**
 * Takes the rest of a body for its only reader.
 *
 * @throws RefusalError with reason `body-taken` when it was taken before.
 */
export function takeRest(rest: Readable): Readable {
  if (isRestTaken(rest)) {
    throw new RefusalError(Reason.BODY_TAKEN, Verdict.MAY_HAVE_RUN);
  }
  readBytes.set(rest, 0);
  return rest;
}

/** When the rest of a body may be sent, and what is told of its end. */
export interface SendBodyOptions {
  /** Resolves when the receiver asks for the rest; at once by default. */
  readonly admitted?: Promise<void>;
  /** Called when no more of the body is sent, unless nobody asked for it. */
  readonly handleEnd?: (sent: SentBody) => void;
}

/** Builds the body of an exchange; its rest is taken when it is asked for. */
export function buildSentBody(
  body: Body,
  options: SendBodyOptions = {},
): Buffer | AsyncIterable<Buffer> | null {
  const {held, rest} = body;
  if (!rest) return held.length > 0 ? held : null;
  return sendBody(held, rest, options);
}

async function* sendBody(
  held: Buffer,
  rest: Readable,
  {admitted, handleEnd}: SendBodyOptions,
): AsyncGenerator<Buffer> {
  let givenBytes = held.length;
  let isWhole = false;
  try {
    yield held;
    await admitted;
    for await (const part of takeRest(rest) as AsyncIterable<Buffer>) {
      givenBytes += part.length;
      readBytes.set(rest, givenBytes - held.length);
      yield part;
    }
    isWhole = true;
  } finally {
    const knownBytes =
      held.length + (readBytes.get(rest) ?? 0) + rest.readableLength;
    handleEnd?.({isWhole, givenBytes, knownBytes});
  }
}
