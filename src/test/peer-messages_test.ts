/** Checks that load datagrams are parsed to what was formatted. */
import {describe, expect, it} from 'vitest';
import type {LoadBeacon} from '../protocol/peer-messages.js';
import {formatBeacon, parseBeacon} from '../protocol/peer-messages.js';

const BEACON: LoadBeacon = {
  nodeId: 'node|1,@=+',
  incarnation: 7,
  revision: 3,
  recordsEnd: {era: 0, offset: 12},
  storeAnswer: {number: 17, ageMs: 340},
  loads: [
    {
      service: 'kona=desk|1',
      load: {
        state: 'ready',
        inFlight: 2,
        queued: 1,
        limit: 4,
        serviceTimeUs: 1500,
        failureShare: 0.125,
        pace: 4,
      },
    },
  ],
};

const BEACON_WITH_INTRODUCTION: LoadBeacon = {
  ...BEACON,
  introduction: {
    node: {
      nodeId: BEACON.nodeId,
      incarnation: BEACON.incarnation,
      revision: BEACON.revision,
      peerAddress: '10.0.0.1:80',
      beaconAddress: '10.0.0.1:81',
      dataCentre: 'hall,a',
      isLeaving: true,
      workers: [
        {service: 'kona=desk|1', version: 'v+1', slots: 6, state: 'cold'},
        {service: 'other', version: '', slots: 1, state: 'ready'},
      ].map(worker => ({...worker, version: worker.version || 'v'})) as [],
    },
    wantsLoad: true,
    wantsReply: false,
  },
};

describe('a datagram', () => {
  it.each([
    {name: 'of load', beacon: BEACON},
    {
      name: 'of a node without an answer of the store',
      beacon: {...BEACON, storeAnswer: {number: 0, ageMs: Infinity}},
    },
    {name: 'without load', beacon: {...BEACON, loads: []}},
    {name: 'of introduction', beacon: BEACON_WITH_INTRODUCTION},
    {
      name: 'of a restored store',
      beacon: {...BEACON, recordsEnd: {era: 3, offset: 2}},
    },
  ])('$name arrives whole', ({beacon}) => {
    expect(parseBeacon(formatBeacon(beacon))).toEqual(beacon);
  });

  it.each([
    {name: 'empty', text: ''},
    {name: 'no numbers', text: 'node|a|b|c'},
    {name: 'too short', text: 'node|1|2'},
    {name: 'bad encoding', text: '%E0%A4%A|1|2|3'},
    {name: 'a malformed era', text: 'node|1|2|3|~x'},
    {name: 'an introduction without fields', text: 'node|1|2|3|@'},
    {name: 'a worker without slots', text: 'node|1|2|3|@a,b:1,c:1,,,|+s,v'},
  ])('that is $name is left out', ({text}) => {
    expect(parseBeacon(text)).toBeUndefined();
  });
});
