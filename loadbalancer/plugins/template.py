"""The plug-in that `micastand plugin new` writes: a minimal implementation of the hook in WAT."""

WAT = """\
;; A plug-in for micastand, hook version 1. It receives a request as lines of text, `key SP value LF` (method, path,
;; class, tenant, zone, listener, clock, setting NAME VALUE, header NAME VALUE), and returns lines of its own:
;;   tag NAME VALUE | class NAME | tenant NAME | priority low|normal|high
;;   set HEADER VALUE | drop HEADER | away STATUS REASON
;; A module may import nothing, may use 4 MiB of memory, and has 300,000 units of fuel for a call.
(module
  (memory (export "memory") 1)
  (data (i32.const 0) "tag seen-by template\\n")
  (global $next (mut i32) (i32.const 1024))

  ;; Returns the version of the hook that this module implements.
  (func (export "micastand_hook") (result i32) (i32.const 1))

  ;; Returns where the next request is to be written: always the same address, since calls do not overlap.
  (func (export "alloc") (param $length i32) (result i32)
    (block $enough
      (br_if $enough (i32.le_u (i32.add (global.get $next) (local.get $length)) (i32.mul (memory.size) (i32.const
      65536)))) (drop (memory.grow (i32.const 1))))
    (global.get $next))

  ;; Returns the output: its address in the upper half, its length in the lower; 0 for no output.
  (func (export "on_request") (param $at i32) (param $length i32) (result i64)
    (i64.or (i64.shl (i64.extend_i32_u (i32.const 0)) (i64.const 32)) (i64.extend_i32_u (i32.const 21)))))
"""
