/**
 * A request whose body is counted as it is read. Node.js makes an event and a
 * buffer of each chunk, however short, so that one read of a body in chunks of
 * one byte costs its readers some ten thousand turns. Short chunks are gathered
 * here, before anything else handles them, and a connection that brings many at
 * once is from then on read in turns with others like it.
 */
import {IncomingMessage} from 'node:http';
import type {Duplex, Readable} from 'node:stream';
import {ChunkList} from '../../protocol/chunk-list.js';
import {takeTurns} from './read-turns.js';

/** Chunks that are shorter cost more for their framing than for their bytes. */
const SHORT_CHUNK_BYTES = 256;
/** Short chunks of a body that are passed on at once. */
const MAX_PLAIN_CHUNKS = 64;
const GATHERED_BYTES = 4096;
/** Short chunks of one body, between two turns of the event loop. */
const MAX_CHUNKS_AT_ONCE = 512;

/** A request that knows how much of its body has arrived. */
export class CountedMessage extends IncomingMessage {
  /** Bytes of the body that were read from the connection. */
  receivedBytes = 0;
  /** Called with the size of each chunk. */
  handleBytes: ((bytes: number) => void) | undefined;
  /** Measures how much of it is held, where a part is passed on or dropped. */
  measureHeld: (() => number) | undefined;
  private shortChunks = 0;
  private chunksAtOnce = 0;
  private takesTurns = false;
  private gathered: ChunkList | undefined;
  private flushTimer: NodeJS.Immediate | undefined;

  /** Bytes of the body that the node holds until its answer is read. */
  get heldBytes(): number {
    const buffered = this.readableLength + (this.gathered?.size ?? 0);
    return this.measureHeld
      ? this.measureHeld() + buffered
      : Math.max(this.receivedBytes, buffered);
  }

  /** Called by the parser with each chunk, and with null at the end. */
  override push(chunk: Buffer | null): boolean {
    if (chunk === null) {
      this.flush();
      return super.push(null);
    }
    this.receivedBytes += chunk.length;
    this.handleBytes?.(chunk.length);
    const isShort = chunk.length < SHORT_CHUNK_BYTES;
    if (!isShort || this.shortChunks < MAX_PLAIN_CHUNKS) {
      if (isShort) this.shortChunks += 1;
      this.flush();
      return super.push(chunk);
    }
    return this.addShort(chunk);
  }

  /** Returns whether more may be read, as `push` does. */
  private addShort(chunk: Buffer): boolean {
    this.gathered ??= new ChunkList();
    this.gathered.add(chunk);
    if (this.gathered.size >= GATHERED_BYTES) this.flush();
    this.flushTimer ??= setImmediate(() => {
      this.flushTimer = undefined;
      this.chunksAtOnce = 0;
      this.flush();
    });
    this.chunksAtOnce += 1;
    if (this.chunksAtOnce >= MAX_CHUNKS_AT_ONCE && !this.takesTurns) {
      this.takesTurns = true;
      takeTurns(this);
    }
    return (
      this.chunksAtOnce < MAX_CHUNKS_AT_ONCE &&
      this.readableLength + this.gathered.size < this.readableHighWaterMark
    );
  }

  private flush(): void {
    if (!this.gathered?.size || this.destroyed) return;
    super.push(this.gathered.take());
  }
}

/**
 * Counts only the buffered start of a body and what is read ahead behind it,
 * since the rest is passed on.
 *
 * @param readAhead stream behind the message; none if it is read directly.
 */
export function watchHeldBody(
  message: Readable | undefined,
  startBytes: number,
  readAhead?: Duplex,
): void {
  if (!(message instanceof CountedMessage)) return;
  message.measureHeld = () => {
    if (!readAhead) return startBytes;
    const {readableLength, writableLength} = readAhead;
    return startBytes + readableLength + writableLength;
  };
}
