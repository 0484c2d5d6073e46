/**
 * Turns in which connections with many short chunks are read. Node.js parses a
 * read of 64 KiB at once, and reads a connection some dozen times before the
 * next one, so that few clients could keep the event loop for seconds. Such a
 * connection is read in small parts instead, one after the other with all others
 * of its kind, and the loop goes on in between.
 */
import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import {enqueueTask} from './work-turns.js';

/** Bytes that are parsed in one turn: at most some 200 chunks. */
const TURN_BYTES = 1024;

type ReadBytes = (bytes: Buffer) => void;

/** A connection that is read in turns until its current request is whole. */
class TurnReader {
  private readonly socket: Socket;
  /** The listener of the HTTP server, which parses what it is called with. */
  private readonly parse: ReadBytes;
  private hasTurn = false;
  private isQueued = false;
  private isReleased = false;

  constructor(private readonly message: IncomingMessage) {
    this.socket = message.socket;
    this.parse = this.socket.listeners('data')[0] as ReadBytes;
    this.socket.off('data', this.parse);
    this.socket.on('data', this.handleData);
    this.enqueue();
  }

  /** Parses the next part of what has been read. */
  private runTurn(): void {
    this.isQueued = false;
    const {socket, message} = this;
    if (socket.destroyed || this.release()) return;
    const isFull = message.readableLength >= message.readableHighWaterMark;
    // Whoever reads the message resumes its connection.
    if (isFull && !message.destroyed) return;
    const size = Math.min(TURN_BYTES, socket.readableLength);
    if (size > 0) {
      this.hasTurn = true;
      socket.read(size);
      this.hasTurn = false;
    }
    if (this.release()) return;
    if (socket.readableLength > 0) this.enqueue();
    else socket.resume();
  }

  private readonly handleData = (bytes: Buffer): void => {
    if (this.hasTurn || bytes.length <= TURN_BYTES || this.release()) {
      this.parse.call(this.socket, bytes);
      return;
    }
    this.socket.pause();
    this.socket.unshift(bytes);
    this.enqueue();
  };

  private enqueue(): void {
    if (this.isQueued) return;
    this.isQueued = true;
    enqueueTask(() => this.runTurn());
  }

  /** Returns whether the request is whole; the server then reads on itself. */
  private release(): boolean {
    const {socket, message, parse} = this;
    if (message.complete && !this.isReleased) {
      this.isReleased = true;
      socket.off('data', this.handleData);
      socket.on('data', parse);
    }
    return this.isReleased;
  }
}

/** Reads the connection of a request in turns until the request is whole. */
export function takeTurns(message: IncomingMessage): void {
  const {socket} = message;
  const takeOver = (): void => {
    const canTakeOver = socket.listenerCount('data') === 1;
    if (socket.destroyed || message.complete || !canTakeOver) return;
    // Node.js doesn't read on where a paused connection leaves its parser.
    if (socket.isPaused()) socket.once('resume', takeOver);
    else new TurnReader(message);
  };
  // The parser can't be replaced while it runs.
  setImmediate(() => {
    takeOver();
    socket.resume();
  });
}
