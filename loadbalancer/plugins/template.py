"""What `micastand plugin new` begins with: the whole hook in some lines of WAT."""

WAT = """\
;; A plug-in for micastand, hook version 1. It gets a request as lines of text, `key SP value LF` (method, path, class,
;; tenant, zone, listener, clock, setting NAME VALUE, header NAME VALUE), and says lines of its own:
;;   tag NAME VALUE | class NAME | tenant NAME | priority low|normal|high
;;   set HEADER VALUE | drop HEADER | away STATUS REASON
;; No imports; 4 MiB of memory; a call has 300,000 units of fuel.
(module
  (memory (export "memory") 1)
  (data (i32.const 0) "tag seen-by template\\n")
  (global $next (mut i32) (i32.const 1024))

  ;; The version of the hook that this is written for.
  (func (export "micastand_hook") (result i32) (i32.const 1))

  ;; Where the next request may be written: always at the same place, since one is done with before the next comes.
  (func (export "alloc") (param $length i32) (result i32)
    (block $enough
      (br_if $enough (i32.le_u (i32.add (global.get $next) (local.get $length)) (i32.mul (memory.size) (i32.const
      65536)))) (drop (memory.grow (i32.const 1))))
    (global.get $next))

  ;; What is said: where it begins in the upper half, how long it is in the lower; 0 for nothing.
  (func (export "on_request") (param $at i32) (param $length i32) (result i64)
    (i64.or (i64.shl (i64.extend_i32_u (i32.const 0)) (i64.const 32)) (i64.extend_i32_u (i32.const 21)))))
"""
